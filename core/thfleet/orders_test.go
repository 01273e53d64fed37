package thfleet_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// An order changes neither the table's version nor the targets'. It must be fetched, announced and
// relayed like them, and what was read before it must not count as read for it.
func TestOrdersAreDistributedByTheirPosition(t *testing.T) {
	before := thfleet.StoreVersions{Table: 3, Targets: position(9), Orders: thtable.Position{Era: 1, Version: 70}}
	after := before
	after.Orders.Version = 80
	restored := before
	restored.Orders = thtable.Position{Era: 2, Version: 10}
	for _, c := range []struct{ older, newer thfleet.StoreVersions }{{before, after}, {after, restored}, {thfleet.StoreVersions{Table: 3, Targets: position(9)}, before}} {
		f := thfleet.New(identity(0))
		f.RecordAnnouncement(at(0), c.older, thfleet.StoreReads{})
		assert.Assert(t, !f.IsRelayDue(at(0), thfleet.Relayer, c.older))
		f.Receive(at(0), notice(1, 1).WithVersions(c.newer))
		assert.Equal(t, len(f.FetchOrder(at(time.Second), c.older)), 1)
		assert.Equal(t, len(f.FetchOrder(at(time.Second), c.newer)), 0)
		assert.Equal(t, f.LastReads(c.older).Table, thfleet.StoreReads{}.Table)
		assert.Equal(t, f.LastReads(c.newer).Table, at(0))
		assert.Assert(t, f.IsRelayDue(at(0), thfleet.Relayer, c.newer))
	}
}

// VMs of older builds announce no orders and must be able to read the notices of newer ones.
func TestOrdersInNoticesOfOtherBuilds(t *testing.T) {
	versions := thfleet.StoreVersions{Table: 3, Targets: position(9), Orders: thtable.Position{Era: 2, Version: 70}}
	data, err := cbor.Marshal(thfleet.Notice{}.WithVersions(versions))
	assert.NilError(t, err)
	var same thfleet.Notice
	assert.NilError(t, cbor.Unmarshal(data, &same))
	got, _ := same.Versions()
	assert.Equal(t, got, versions)

	var fields map[int]cbor.RawMessage
	assert.NilError(t, cbor.Unmarshal(data, &fields))
	delete(fields, 23) // as older builds do, which ignore it
	data, err = cbor.Marshal(fields)
	assert.NilError(t, err)
	var older thfleet.Notice
	assert.NilError(t, cbor.Unmarshal(data, &older))
	got, _ = older.Versions()
	versions.Orders = thtable.Position{}
	assert.Equal(t, got, versions)
}
