package thsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thsettings"
)

const validSettings = `
[vm]
id = "vm-1"
zone = "kigali-a"
memoryMegabytes = 250
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:9000"
[peers]
credential = "peers-secret"
seeds = ["127.0.0.1:8181", "127.0.0.1:8281"]
[operators]
credential = "operators-secret"
`

func writeSettings(t *testing.T, source string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "vm.toml")
	assert.NilError(t, os.WriteFile(path, []byte(source), 0o600))
	return path
}

func TestFlagsOverrideEnvironmentAndFile(t *testing.T) {
	t.Setenv("TAMARACKHOLLOW_VM_ZONE", "kigali-b")
	t.Setenv("TAMARACKHOLLOW_VM_ID", "from-environment")
	s, err := thsettings.Parse([]string{"--settings", writeSettings(t, validSettings), "--vm.id", "from-flag"})
	assert.NilError(t, err)
	assert.Equal(t, s.VM.ID, "from-flag")
	assert.Equal(t, s.VM.Zone, "kigali-b")
	assert.DeepEqual(t, s.Peers.Seeds, []string{"127.0.0.1:8181", "127.0.0.1:8281"})
	assert.Equal(t, s.VM.MemoryMegabytes, 250)
	assert.Equal(t, s.LocalIP(), "127.0.0.1")
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"bad address", `"127.0.0.1:8080"`, `"localhost:8080"`, []string{"vm.toml", "listen.callers", `"localhost:8080"`, "IP:port"}},
		{"port 0", `"127.0.0.1:8080"`, `"127.0.0.1:0"`, []string{"listen.callers", "above 0"}},
		{"bad number", "250", `"soon"`, []string{"vm.toml", "vm.memoryMegabytes", `"soon"`, "whole number from 0"}},
		{"bad IP", "[vm]", "[vm]\naddress = \"here\"", []string{"vm.address", `"here"`, "an IP address"}},
		{"fractional number", "250", "2.5", []string{"vm.memoryMegabytes", `"2.5"`}},
		{"neither true nor false", "[vm]", "[vm]\nfirstStart = \"yes\"", []string{"vm.toml", "vm.firstStart", `"yes"`, "true or false"}},
		{"unknown key", "[operators]", "[operators]\npatience = 3", []string{"vm.toml", "operators.patience", "unknown setting"}},
		{"unknown table", "[operators]", "[operator]", []string{"vm.toml", "operator.credential"}},
		{"--settings as a key", "[operators]", "settings = \"x\"\n[operators]", []string{"vm.toml"}},
		{"missing setting", `zone = "kigali-a"`, "", []string{"vm.toml", "vm.zone is missing", "TAMARACKHOLLOW_VM_ZONE"}},
		{"TOML syntax error", "[operators]", "[operators", []string{"vm.toml", "line 15"}},
		{"address used twice", "127.0.0.1:8081", "127.0.0.1:8080", []string{"vm.toml", "listen.peers", "listen.callers"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			source := strings.Replace(validSettings, tc.from, tc.to, 1)
			path := writeSettings(t, source)
			_, err := thsettings.Parse([]string{"--settings", path})
			assert.Assert(t, therror.Is(err, therror.SettingsInvalid), "%v", err)
			checked := thsettings.CheckFile(path, strings.NewReader(source))
			for _, w := range tc.want {
				assert.ErrorContains(t, err, w)
				assert.ErrorContains(t, checked, w)
			}
		})
	}
}

// TestErrorsDoNotContainSecrets guards against credentials in logs and on
// terminals: other invalid values are quoted in errors.
func TestErrorsDoNotContainSecrets(t *testing.T) {
	t.Setenv("TAMARACKHOLLOW_PEERS_CREDENTIAL", "has a space")
	_, err := thsettings.Parse([]string{"--settings", writeSettings(t, validSettings)})
	assert.ErrorContains(t, err, "TAMARACKHOLLOW_PEERS_CREDENTIAL")
	assert.Assert(t, !strings.Contains(err.Error(), "has a space"), "%v", err)
}

func TestDiffRequiringRestartOmitsLiveSettings(t *testing.T) {
	before, err := thsettings.Parse([]string{"--settings", writeSettings(t, validSettings)})
	assert.NilError(t, err)
	after := before
	after.VM.MemoryMegabytes, after.Platform.Bounds, after.Peers.Seeds = 500, []string{"graceS=9"}, nil
	assert.Equal(t, len(before.DiffRequiringRestart(after)), 0)
	after.Listen.Callers, after.Operators.Credential = "127.0.0.1:1", "another-secret"
	assert.DeepEqual(t, before.DiffRequiringRestart(after), []string{"listen.callers", "operators.credential"})
}
