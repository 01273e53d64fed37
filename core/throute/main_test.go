package throute_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that the verdict is always
// the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
