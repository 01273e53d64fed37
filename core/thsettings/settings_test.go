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

const whole = `
[vm]
id = "vm-1"
zone = "kigali-a"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:9000"
credential = "platform-secret"
[peers]
credential = "peers-secret"
seeds = ["127.0.0.1:8181", "127.0.0.1:8281"]
[operators]
credential = "operators-secret"
[drain]
limitMillis = 2500
`

func file(t *testing.T, source string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "vm.toml")
	assert.NilError(t, os.WriteFile(path, []byte(source), 0o600))
	return path
}

func TestParseFileEnvironmentAndFlags(t *testing.T) {
	t.Setenv("TAMARACKHOLLOW_VM_ZONE", "kigali-b")
	t.Setenv("TAMARACKHOLLOW_VM_ID", "from-environment")
	s, err := thsettings.Parse([]string{"--settings", file(t, whole), "--vm.id", "from-flag"})
	assert.NilError(t, err)
	assert.Equal(t, s.VM.ID, "from-flag")
	assert.Equal(t, s.VM.Zone, "kigali-b")
	assert.DeepEqual(t, s.Peers.Seeds, []string{"127.0.0.1:8181", "127.0.0.1:8281"})
	assert.Equal(t, s.Drain.Limit().Milliseconds(), int64(2500))
	assert.Equal(t, s.Self(7).Incarnation, uint64(7))
	assert.Equal(t, s.Self(7).PeerAddress, "127.0.0.1:8081")
	assert.Equal(t, s.LocalIP(), "127.0.0.1")
}

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"bad address", `"127.0.0.1:8080"`, `"localhost:8080"`, []string{"vm.toml", "listen.callers", `"localhost:8080"`, "IP:port"}},
		{"port 0", `"127.0.0.1:8080"`, `"127.0.0.1:0"`, []string{"listen.callers", "above 0"}},
		{"bad number", "2500", `"soon"`, []string{"vm.toml", "drain.limitMillis", `"soon"`, "whole number from 1"}},
		{"bad IP", "[vm]", "[vm]\naddress = \"here\"", []string{"vm.address", `"here"`, "an IP address"}},
		{"fraction", "2500", "2.5", []string{"drain.limitMillis", `"2.5"`}},
		{"unknown key", "[drain]", "[drain]\npatience = 3", []string{"vm.toml", "drain.patience", "is no setting"}},
		{"unknown table", "[drain]", "[drains]", []string{"vm.toml", "drains.limitMillis"}},
		{"settings in the file", "[drain]", "settings = \"x\"\n[drain]", []string{"vm.toml"}},
		{"missing", `zone = "kigali-a"`, "", []string{"vm.toml", "vm.zone is missing", "TAMARACKHOLLOW_VM_ZONE"}},
		{"syntax", "[drain]", "[drain", []string{"vm.toml", "line 17"}},
		{"same address twice", "127.0.0.1:8081", "127.0.0.1:8080", []string{"vm.toml", "listen.peers", "listen.callers"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			source := strings.Replace(whole, tc.from, tc.to, 1)
			path := file(t, source)
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

func TestSecretsAreNotRepeated(t *testing.T) {
	t.Setenv("TAMARACKHOLLOW_PEERS_CREDENTIAL", "has a space")
	_, err := thsettings.Parse([]string{"--settings", file(t, whole)})
	assert.ErrorContains(t, err, "TAMARACKHOLLOW_PEERS_CREDENTIAL")
	assert.Assert(t, !strings.Contains(err.Error(), "has a space"), "%v", err)
}
