package thagree_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/core/thstore/thstoretest"
	"tamarackhollow/io/thagree"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const credential = "peer-credential"

// vm is one VM with its listener for peers.
type vm struct {
	*thagree.Agreement
	server *thwire.Server
	pool   *thpool.Pool
	self   throster.VM
}

func startVM(t *testing.T, platform *thstoretest.Fake, id string, incarnation uint64, seeds ...string) *vm {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := throster.VM{ID: id, PeerAddress: l.Addr().String(), Zone: "a", Incarnation: incarnation}
	pool, err := thpool.New(16, thevent.Discard{})
	assert.NilError(t, err)
	m := &vm{server: &thwire.Server{Credential: credential}, pool: pool, self: self}
	m.Agreement = thagree.New(thagree.Options{
		Self: self, Platform: platform, Seeds: seeds,
		Client: thwire.NewClient(thwire.Identity{Credential: credential, From: id, Incarnation: incarnation}),
	})
	m.Register(m.server)
	m.server.Start(l)
	m.Start(pool)
	t.Cleanup(m.stop)
	return m
}

func (m *vm) stop() {
	m.pool.Close()
	_ = m.server.Shutdown()
}

func startFleet(t *testing.T, platform *thstoretest.Fake, size int) []*vm {
	t.Helper()
	vms := make([]*vm, 0, size)
	for i := range size {
		vms = append(vms, startVM(t, platform, fmt.Sprintf("vm%d", i), 1))
	}
	eventually(t, "roster", func() bool { return all(vms, func(m *vm) bool { return m.Roster().Len() == size && m.Ready() }) })
	return vms
}

func all(vms []*vm, f func(*vm) bool) bool {
	for _, m := range vms {
		if !f(m) {
			return false
		}
	}
	return true
}

// eventually waits without judging how long it takes.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not come about", what)
}

func template(name string) thconfig.Change {
	return thconfig.PutTemplate{Template: thconfig.Template{Name: name}}
}

func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 4)
	r, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	assert.Equal(t, r.State, thagree.Accepted)
	eventually(t, "the change", func() bool { return all(vms, func(m *vm) bool { return m.Config().Version() >= r.Version }) })
	again, err := vms[1].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	assert.Equal(t, again.Version, r.Version)
	_, err = vms[1].Apply(context.Background(), "one", 0, template("other"))
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	assert.Equal(t, vms[1].Status().Accepted, vms[1].Status().Version)
}

func TestPreconditionNamesTheVersionThatWon(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 2)
	first, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	won, err := vms[0].Apply(context.Background(), "two", first.Version, template("u"))
	assert.NilError(t, err)
	_, err = vms[1].Apply(context.Background(), "three", first.Version, template("v"))
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	assert.ErrorContains(t, err, fmt.Sprintf("version %d ", won.Version))
}

func TestLostAnswerIsOneChange(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 2)
	lost := 0
	platform.SetFault(func(call, _ string) thstoretest.Fault {
		if call == "Commit" && lost == 0 {
			lost++
			return thstoretest.LosesAnswer
		}
		return thstoretest.Works
	})
	before := vms[0].Config().Version()
	r, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	assert.Equal(t, r.Version, before+1)
	assert.Equal(t, lost, 1)
}

func TestFleetOutlivesTheStore(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 5)
	platform.SetDown(true)
	_, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.Assert(t, therror.Is(err, therror.StoreUnavailable), "%v", err)
	time.Sleep(throster.FreshFor + time.Second)
	assert.Assert(t, all(vms, func(m *vm) bool { return m.CheckFresh() == nil }))
	restarted := vms[4]
	restarted.stop()
	back := startVM(t, &platform, "vm4", 2, vms[0].self.PeerAddress)
	eventually(t, "the restart", back.Ready)
	assert.Equal(t, back.Config().Version(), vms[0].Config().Version())
}

func TestLonelyVMRefuses(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	platform.SetDown(true)
	vms[1].stop()
	vms[2].stop()
	eventually(t, "the refusal", func() bool { return therror.Is(vms[0].CheckFresh(), therror.NotFresh) })
}

func TestPlannedStopLeavesTheRoster(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	assert.NilError(t, vms[2].Leave(context.Background()))
	eventually(t, "the leaving", func() bool { return vms[0].Roster().Len() == 2 && vms[1].Roster().Len() == 2 })
	assert.Assert(t, !vms[2].Ready())
}

func TestJoinerTakesOthersAlong(t *testing.T) {
	var platform thstoretest.Fake
	value := []byte(`{"id":"other","peerAddress":"127.0.0.1:1","zone":"a","incarnation":3}`)
	assert.NilError(t, platform.Commit(context.Background(), thstore.Transaction{Writes: []thstore.Write{{Key: "roster/join/other", Value: value}}}))
	m := startVM(t, &platform, "vm0", 1)
	eventually(t, "both", func() bool { return m.Roster().Len() == 2 })
	assert.Equal(t, m.Config().Version(), uint64(1))
	rows, err := platform.ScanRows(context.Background(), "roster/join/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestSnapshotCarriesAVMPastPrunedChanges lets a VM begin after the changes
// that made the configuration have gone from the table.
func TestSnapshotCarriesAVMPastPrunedChanges(t *testing.T) {
	ctx := context.Background()
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 1)
	for i := range 250 {
		_, err := vms[0].Apply(ctx, fmt.Sprint(i), 0, template(fmt.Sprintf("t%d", i)))
		assert.NilError(t, err)
	}
	eventually(t, "a snapshot", func() bool {
		row, err := platform.ReadRow(ctx, "config/snapshot")
		return err == nil && row.Version > 0
	})
	var deletes []thstore.Write
	for v := range 200 {
		deletes = append(deletes, thstore.Write{Key: fmt.Sprintf("config/change/%016d", v+1), Delete: true})
	}
	assert.NilError(t, platform.Commit(ctx, thstore.Transaction{Writes: deletes}))
	vms[0].stop()
	m := startVM(t, &platform, "vm1", 1)
	eventually(t, "the new VM", m.Ready)
	assert.Assert(t, m.Config().Version() >= 251)
	_, ok := m.Config().Template("t0")
	assert.Assert(t, ok)
}
