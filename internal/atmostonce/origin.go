package atmostonce

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Origin names the earlier attempt of a repeated request.
type Origin struct {
	// Instance got the earlier attempt; empty for a first attempt.
	Instance string
	// Incarnation is that instance's incarnation, or 0 when the caller doesn't know.
	Incarnation uint64
	// Age is how long before this repeat the caller first sent the request.
	Age time.Duration
	// AgeKnown is false when the caller didn't say.
	AgeKnown bool
}

// ParseOrigin reads "name;age=1200;incarnation=17", with the age in milliseconds.
// Both parameters may be absent. Without them, only an instance that remembers the
// request can say what became of it; with them, also one that knows that it never
// got it.
func ParseOrigin(text string) (Origin, error) {
	name, rest, _ := strings.Cut(text, ";")
	o := Origin{Instance: strings.TrimSpace(name)}
	if o.Instance == "" && rest != "" {
		return Origin{}, fmt.Errorf("atmostonce: %q names no instance", text)
	}
	for rest != "" {
		var parameter string
		parameter, rest, _ = strings.Cut(rest, ";")
		if err := o.set(strings.TrimSpace(parameter)); err != nil {
			return Origin{}, err
		}
	}
	return o, nil
}

func (o *Origin) set(parameter string) error {
	key, value, _ := strings.Cut(parameter, "=")
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return fmt.Errorf("atmostonce: parameter %q: %w", parameter, err)
	}
	switch key {
	case "age":
		o.Age = time.Duration(n) * time.Millisecond
		o.AgeKnown = o.Age/time.Millisecond == time.Duration(n)
	case "incarnation":
		o.Incarnation = n
	default:
		return fmt.Errorf("atmostonce: unknown parameter %q", parameter)
	}
	return nil
}

// String is the form that ParseOrigin reads.
func (o Origin) String() string {
	text := o.Instance
	if o.AgeKnown {
		text += fmt.Sprintf(";age=%d", o.Age.Milliseconds())
	}
	if o.Incarnation != 0 {
		text += fmt.Sprintf(";incarnation=%d", o.Incarnation)
	}
	return text
}
