package thplatform_test

import (
	"net"
	"testing"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thplatform"
	"tamarackhollow/io/thstand"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

func start(t *testing.T) (*thstand.Platform, *thplatform.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &thstand.Platform{}
	p.Start(l, "secret")
	t.Cleanup(p.Close)
	wire := thwire.NewClient(thwire.Identity{Credential: "secret"})
	return p, thplatform.New(wire, l.Addr().String(), thevent.Discard{})
}

func TestTransactionsAreConditional(t *testing.T) {
	_, c := start(t)
	ctx := t.Context()
	first := thstore.Transaction{
		Conditions: []thstore.Condition{{Key: "a", Version: 0}},
		Writes:     []thstore.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}},
	}
	assert.NilError(t, c.Commit(ctx, first))
	err := c.Commit(ctx, first)
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	r, err := c.ReadRow(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(r.Value), "1")
	assert.Equal(t, r.Version, uint64(1))
	r, err = c.ReadRow(ctx, "missing")
	assert.NilError(t, err)
	assert.Equal(t, r.Version, uint64(0))
	rows, err := c.ScanRows(ctx, "", "a", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "b")
	_, err = c.GetObject(ctx, "o")
	assert.Assert(t, therror.Is(err, therror.NotFound), "%v", err)
	assert.NilError(t, c.PutObject(ctx, "o", []byte("data")))
	data, err := c.GetObject(ctx, "o")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "data")
}

// TestFaultsSayWhatMayHaveHappened checks each fault's kind: a read that fails
// did nothing, a write whose answer was lost may have taken effect.
func TestFaultsSayWhatMayHaveHappened(t *testing.T) {
	write := thstore.Transaction{Writes: []thstore.Write{{Key: "a", Value: []byte("1")}}}
	cases := []struct {
		name        string
		faults      thstand.PlatformFaults
		read, write therror.Kind
		written     uint64
	}{
		{"down", thstand.PlatformFaults{Down: true}, therror.StoreUnavailable, therror.StoreUnavailable, 0},
		{"slow", thstand.PlatformFaults{DelayMillis: 1500}, therror.StoreUnavailable, therror.StoreOutcomeUnknown, 1},
		{"lost answer", thstand.PlatformFaults{LoseWriteAnswers: true}, therror.Internal, therror.StoreOutcomeUnknown, 1},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			p, c := start(t)
			p.SetFaults(k.faults)
			if _, err := c.ReadRow(t.Context(), "a"); err != nil {
				assert.Equal(t, therror.KindOf(err), k.read, "%v", err)
			}
			err := c.Commit(t.Context(), write)
			assert.Assert(t, therror.Is(err, k.write), "%v", err)
			p.SetFaults(thstand.PlatformFaults{})
			if k.written > 0 {
				waitForRow(t, c)
			}
			r, err := c.ReadRow(t.Context(), "a")
			assert.NilError(t, err)
			assert.Equal(t, r.Version, k.written)
		})
	}
}

// waitForRow waits until a slow write has taken effect.
func waitForRow(t *testing.T, c *thplatform.Client) {
	t.Helper()
	for {
		r, err := c.ReadRow(t.Context(), "a")
		assert.NilError(t, err)
		if r.Version > 0 {
			return
		}
	}
}

func TestLostStoreIsNoticed(t *testing.T) {
	p, c := start(t)
	assert.Assert(t, c.Answers())
	p.SetFaults(thstand.PlatformFaults{Down: true})
	for range 3 {
		_, err := c.ReadRow(t.Context(), "a")
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, !c.Answers())
	p.SetFaults(thstand.PlatformFaults{})
	_, err := c.ReadRow(t.Context(), "a")
	assert.NilError(t, err)
	assert.Assert(t, c.Answers())
}
