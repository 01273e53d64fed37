package thconfig_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
)

func FuzzRecord(f *testing.F) {
	for _, text := range []string{
		`{"version":1,"changeId":"a","digest":"","withdrawKey":{"id":"k"}}`,
		`{"version":1,"putTemplate":{"template":{"name":"t"}},"removeCustomer":{"name":"u"}}`,
		`{"version":1,"changeMembers":{"join":[{"id":"vm1","incarnation":2}]}}`,
		`{"version":-1}`, `[]`, `null`, `{"putDeployment":null}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r thconfig.Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		var c thconfig.Config
		_ = c.Check(r.Change)
		// A record that was read can be written, and says the same again.
		again, err := json.Marshal(r)
		assert.NilError(t, err)
		var back thconfig.Record
		assert.NilError(t, json.Unmarshal(again, &back))
		assert.Assert(t, thconfig.SameChange(r.Change, back.Change))
	})
}

func FuzzSnapshot(f *testing.F) {
	for _, text := range []string{
		`{"version":3,"digest":"d","customers":[{"name":"u","rate":1,"burst":1,"deployment":"x"}]}`,
		`{"version":3,"roster":{"version":2,"vms":[{"id":"a"},{"id":"a"}]}}`,
		`{"deployments":[{"name":"d","services":[{"name":"s","slots":1,"connections":1}],"routes":[{"name":"r","prefix":"/r","service":"s"}]}]}`,
		`{}`, `null`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c thconfig.Config
		if json.Unmarshal(data, &c) != nil {
			assert.Equal(t, c.Version(), uint64(0))
			return
		}
		again, err := json.Marshal(c)
		assert.NilError(t, err)
		var back thconfig.Config
		assert.NilError(t, json.Unmarshal(again, &back))
		assert.Equal(t, back.Version(), c.Version())
	})
}

func TestRecordWithoutAChangeIsMalformed(t *testing.T) {
	for _, text := range []string{`{}`, `null`, `{"version":1,"withdrawKey":{"id":"k"},"removeCustomer":{"name":"u"}}`} {
		var r thconfig.Record
		err := json.Unmarshal([]byte(text), &r)
		assert.Assert(t, therror.Is(err, therror.MessageMalformed), "%s: %v", text, err)
	}
}
