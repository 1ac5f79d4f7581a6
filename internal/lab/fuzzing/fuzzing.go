// Package fuzzing fixes how rapid runs in a package's tests, so that each run has the
// same verdict.
package fuzzing

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Settings are rapid's flags for one package.
type Settings struct {
	// Seed starts the random source.
	Seed uint64
	// Checks is how many runs each property gets.
	Checks int
	// Steps is how many steps a state machine takes on average; 0 means rapid's default.
	Steps int
	// Shrink bounds the time for making a failing run smaller; 0 means rapid's default.
	Shrink time.Duration
}

// flags lists rapid's flags with their values.
func (s Settings) flags() map[string]string {
	out := map[string]string{
		"rapid.seed":       strconv.FormatUint(s.Seed, 10),
		"rapid.checks":     strconv.Itoa(s.Checks),
		"rapid.nofailfile": "true",
	}
	if s.Steps > 0 {
		out["rapid.steps"] = strconv.Itoa(s.Steps)
	}
	if s.Shrink > 0 {
		out["rapid.shrinktime"] = s.Shrink.String()
	}
	return out
}

// Main is the body of a package's TestMain. Flags on the command line go before the
// settings.
func Main(m *testing.M, s Settings) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range s.flags() {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "fuzzing:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
