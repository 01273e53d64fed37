package thsettings_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thsettings"
)

func TestEverySettingIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	documented := strings.Count(string(data), "\n| `")
	defined := 0
	thsettings.NewLoader().FlagSet().VisitAll(func(f *flag.Flag) {
		if f.Name == "settings" {
			return
		}
		defined++
		assert.Assert(t, strings.Contains(string(data), "| `"+f.Name+"` |"), f.Name)
	})
	assert.Equal(t, documented, defined)
}

func TestExampleFileIsValid(t *testing.T) {
	f, err := os.Open("../../examples/vm.toml")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	assert.NilError(t, thsettings.CheckFile("vm.toml", f))
}
