package recovery

import (
	"flag"
	"testing"
)

// TestMain fixes the number of generated cases and their seed, so that every run checks the
// same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
