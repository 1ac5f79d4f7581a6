package atmostonce

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Origin identifies the earlier attempt of a request that a caller repeats. Question.Asker and
// Answer.Holder use it to identify an instance, without an age.
type Origin struct {
	// Instance is the instance that received the earlier attempt; empty for a first attempt.
	Instance string
	// Incarnation is the incarnation of that instance; 0 if the caller doesn't know it.
	Incarnation uint64
	// Age is the time from the caller's send of the earlier attempt to this repeat. A longer
	// time is allowed: it only makes it less likely that the instance can prove NotRun.
	Age time.Duration
	// AgeKnown is false if the caller gave no age, or one too large for a time.Duration.
	AgeKnown bool
}

// ParseOrigin parses "name;age=1200;incarnation=17", with the age in milliseconds.
// Both parameters are optional. Without them, the named instance can only answer if it
// remembers the request. With both, an instance that has no record of the request can
// also prove that it never received it. An empty text gives the empty Origin, which means a
// first attempt.
func ParseOrigin(text string) (Origin, error) {
	name, rest, _ := strings.Cut(text, ";")
	o := Origin{Instance: strings.TrimSpace(name)}
	if o.Instance == "" && rest != "" {
		return Origin{}, fmt.Errorf("atmostonce: %q names no instance", text)
	}
	for rest != "" {
		var parameter string
		parameter, rest, _ = strings.Cut(rest, ";")
		if err := o.setParameter(strings.TrimSpace(parameter)); err != nil {
			return Origin{}, err
		}
	}
	return o, nil
}

func (o *Origin) setParameter(parameter string) error {
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

// String formats the origin so that ParseOrigin can parse it.
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
