package scheduling

import (
	"testing"

	"limpethub/internal/lab/fuzzing"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fuzzing.Settings{Seed: 4, Checks: 60}) }
