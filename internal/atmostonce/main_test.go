package atmostonce

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run has the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
