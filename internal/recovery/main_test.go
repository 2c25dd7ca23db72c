package recovery

import (
	"flag"
	"testing"
)

// TestMain sets how many cases are generated, and from which seed, so that the
// verdict is the same at every run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
