package thsettings_test

import (
	"bytes"
	"os"
	"testing"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thsettings"

	"gotest.tools/v3/assert"
)

// FuzzCheckFile checks that a settings file is either accepted or refused with an error of the
// kind that ends the process.
func FuzzCheckFile(f *testing.F) {
	example, err := os.ReadFile("../../examples/vm.toml")
	assert.NilError(f, err)
	f.Add(example)
	f.Add([]byte("[vm]\nid = 1\n"))
	f.Add([]byte("vm = [1, {a = 2}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := thsettings.CheckFile("vm.toml", bytes.NewReader(data)); err != nil {
			assert.Assert(t, therror.Is(err, therror.SettingsInvalid), "%v", err)
		}
	})
}
