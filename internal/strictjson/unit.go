package strictjson

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// unit is the unit of a numeric field. It follows from the suffix of the field's name.
type unit string

// The units, as they are named in messages.
const (
	unitNone      unit = ""
	unitMillis    unit = "milliseconds"
	unitMiB       unit = "MiB"
	unitBytes     unit = "bytes"
	unitPerSecond unit = "per second"
)

var unitsBySuffix = []struct {
	fieldSuffix string
	unit        unit
}{
	// Fields whose names end in _mb hold MiB.
	{"_ms", unitMillis},
	{"_mb", unitMiB},
	{"_bytes", unitBytes},
	{"_per_second", unitPerSecond},
}

func unitOf(path string) unit {
	for _, e := range unitsBySuffix {
		if strings.HasSuffix(path, e.fieldSuffix) {
			return e.unit
		}
	}
	return unitNone
}

// phrase returns the unit as the end of a phrase such as "a number of milliseconds", or
// "" without a unit.
func (u unit) phrase() string {
	switch u {
	case unitNone:
		return ""
	case unitPerSecond:
		return " per second"
	default:
		return " of " + string(u)
	}
}

// describeKind names the kind of value that the field at the path expects, with its unit.
func describeKind(kind Kind, path string) string {
	if kind != KindNumber {
		return string(kind)
	}
	return string(kind) + unitOf(path).phrase()
}

// suggestKind says how to write the value as one of the wanted kind.
func suggestKind(n *Node, want Kind, path string) string {
	if n.Kind == KindString && want == KindNumber {
		if number, ok := convertToUnit(n.Text, unitOf(path)); ok {
			return "write " + number
		}
	}
	if n.Kind == KindNumber && want == KindString {
		return fmt.Sprintf("write %q", n.Text)
	}
	if n.Kind == KindString && want == KindBool && (n.Text == "true" || n.Text == "false") {
		return "write " + n.Text + " without quotes"
	}
	return "write " + describeKind(want, path)
}

// convertToUnit converts text such as "4s", "16 GiB" or "12" to a number in the unit. It
// reports false if it can't.
func convertToUnit(text string, u unit) (string, bool) {
	compact := strings.ReplaceAll(text, " ", "")
	if _, err := strconv.ParseFloat(compact, 64); err == nil {
		return compact, true
	}
	switch u {
	case unitMillis:
		d, err := time.ParseDuration(compact)
		return strconv.FormatInt(d.Milliseconds(), 10), err == nil
	case unitMiB:
		bytes, ok := parseSize(compact)
		return strconv.FormatInt(bytes>>20, 10), ok && bytes >= 1<<20
	case unitBytes:
		bytes, ok := parseSize(compact)
		return strconv.FormatInt(bytes, 10), ok
	case unitPerSecond:
		rate, ok := strings.CutSuffix(compact, "/s")
		_, err := strconv.ParseFloat(rate, 64)
		return rate, ok && err == nil
	default:
		return "", false
	}
}

var sizeShifts = map[string]uint{
	"B": 0, "K": 10, "KB": 10, "KIB": 10, "M": 20, "MB": 20, "MIB": 20,
	"G": 30, "GB": 30, "GIB": 30, "T": 40, "TB": 40, "TIB": 40,
}

// parseSize parses a size such as "16GiB" as a number of bytes. All units are powers of
// 1024, also KB, MB and GB.
func parseSize(text string) (int64, bool) {
	digits := strings.TrimRight(strings.ToUpper(text), "BIKMGT")
	shift, known := sizeShifts[strings.ToUpper(text)[len(digits):]]
	number, err := strconv.ParseFloat(digits, 64)
	// A number up to 1<<20 times the largest unit (1<<40 bytes) fits in int64. The limit is the
	// same for smaller units.
	if !known || err != nil || number < 0 || number > 1<<20 {
		return 0, false
	}
	return int64(number * float64(int64(1)<<shift)), true
}
