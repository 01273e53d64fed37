package thconfig_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed and number of scripts, unless the command
// names others, so that a run always gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
