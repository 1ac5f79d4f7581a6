package request

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part identifies one part of a prompt by a hash of its ID alone. Unlike PrefixPart.Key it is the
// same for each model and after any other parts.
type Part uint64

// PartOf returns the Part with the given ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns the part as 16 hexadecimal digits, as it stands in logs.
func (p Part) String() string { return hexDigits(uint64(p)) }

// ParsePart parses what String returns.
func ParsePart(text string) (Part, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Part(n), err
}
