package thtable_test

import (
	"encoding/json"
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// FuzzWithChange applies damaged changes to a table. One that is accepted leads to a table with
// the digest of its content, so that VMs with the same digest hold the same table.
func FuzzWithChange(f *testing.F) {
	before := document(3, 2)
	after := document(4, 1)
	after.Version = 2
	c, ok := thtable.New(before).Diff(after)
	assert.Assert(f, ok)
	data, err := json.Marshal(c)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"base":0,"version":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c thtable.TableChange
		if json.Unmarshal(data, &c) != nil {
			return
		}
		table := thtable.New(before)
		c.Base = table.Digest()
		if changed, err := table.WithChange(c); err == nil {
			assert.Equal(t, changed.Digest(), thtable.New(changed.Document()).Digest())
		}
	})
}
