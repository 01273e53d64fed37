package thsource_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thfake"

	"gotest.tools/v3/assert"
)

// startPeerBehindLink starts a VM like startPeer. Calls reach it over the link.
func startPeerBehindLink(t *testing.T, answer func(q known) knownAnswer) (thfleet.Identity, *thfake.Link) {
	t.Helper()
	peer := startPeer(t, "peer", answering(answer))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	link := thfake.NewLink(l, peer.Address)
	t.Cleanup(link.Close)
	peer.Address = link.Address()
	return peer, link
}

// announceVersion makes the fixture's VM a follower to which the VM is said to hold that version
// of the table.
func (g *fixture) announceVersion(version uint64, vm thfleet.Identity) {
	g.fleet.setReader(false)
	g.fleet.announce(thfleet.StoreVersions{Table: version}, vm)
	g.source.HandleAnnouncement(thfleet.ReadAges{})
}

// spreadBound is the time within which a VM has to have what another one announces to it.
const spreadBound = time.Second

// Connections between VMs went silent, and VMs of the reader's zone had a change 3 s late.
func TestChangeIsFetchedThoughOpenConnectionsWentSilent(t *testing.T) {
	g := newFixture(t)
	peer, link := startPeerBehindLink(t, func(q known) knownAnswer { return knownAnswer{Table: &thtable.Document{Version: q.Table + 1}} })
	for version := uint64(2); version < 5; version++ {
		g.announceVersion(version, peer)
		startedAt := time.Now()
		g.waitForTable(t, version)
		assert.Assert(t, time.Since(startedAt) < spreadBound, "version %d took %v", version, time.Since(startedAt))
		link.StallOpenConnections()
	}
}

// The connection of a call that was under way went silent, and no other call was made to that VM
// for 3 s.
func TestFetchUnderWayWhenConnectionGoesSilentIsRepeated(t *testing.T) {
	g := newFixture(t)
	begun, stalled := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	peer, link := startPeerBehindLink(t, func(known) knownAnswer {
		if calls.Add(1) == 1 {
			close(begun)
			<-stalled
		}
		return knownAnswer{Table: &version2}
	})
	g.announce(peer)
	<-begun
	link.StallOpenConnections()
	stalledAt := time.Now()
	close(stalled)
	g.waitForTable(t, 2)
	assert.Assert(t, time.Since(stalledAt) < applyBound, "%v", time.Since(stalledAt))
}
