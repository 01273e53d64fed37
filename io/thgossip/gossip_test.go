package thgossip_test

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thgossip"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of these tests; only a failing test reaches it.
const testTimeout = 15 * time.Second

// lockedView is the view of the exchange under test.
type lockedView struct {
	mu   sync.Mutex
	view *thview.View
}

func (l *lockedView) WithView(visit func(now thclock.Instant, v *thview.View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visit(thclock.System{}.Now(), l.view)
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	return socket
}

// zone is the zone of the VMs that newView returns.
const zone = "z"

// fixture is an exchange of a VM, and the sockets of the other VMs of
// its zone.
type fixture struct {
	t        *testing.T
	view     *lockedView
	exchange *thgossip.Exchange
	address  string
	peers    []*net.UDPConn
	// loads gets the number of requests in flight of each notice of the VM that a peer
	// receives.
	loads chan uint16
	// repeated counts the repeated notices that peers received.
	repeated atomic.Int32
	// receivers are the goroutines that read the peers' datagrams.
	receivers sync.WaitGroup
	// sent counts the notices of the VM in another zone.
	sent uint32
}

// newFixture starts an exchange that knows the given number of VMs in its zone, all
// live, and one target of the service "s".
func newFixture(t *testing.T, peers int) *fixture {
	t.Helper()
	socket := listenUDP(t)
	g := &fixture{t: t, address: socket.LocalAddr().String(), loads: make(chan uint16, 100)}
	g.view = &lockedView{view: newView("self", 1)}
	x, err := thgossip.New(thgossip.Options{LockedView: g.view, Log: thevent.Discard{}}, socket)
	assert.NilError(t, err)
	g.exchange = x
	x.Start()
	t.Cleanup(x.Close)
	for i := range peers {
		p := listenUDP(t)
		t.Cleanup(func() { _ = p.Close() })
		g.peers = append(g.peers, p)
		g.receivers.Go(func() { g.receive(p) })
		g.sendFromPeer(i, 1)
	}
	g.waitUntil("all peers are live", func() bool {
		live := 0
		g.view.WithView(func(now thclock.Instant, v *thview.View) { live, _ = v.Fleet.Size(now) })
		return live == peers+1
	})
	return g
}

func (g *fixture) waitUntil(what string, holds func() bool) {
	g.t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(g.t, time.Now().Before(until), "timed out waiting until %s: %+v", what, g.exchange.Stats())
	}
}

// stopReceiving ends the reading of the peers' datagrams, so that a test can read them.
func (g *fixture) stopReceiving() {
	for _, p := range g.peers {
		_ = p.SetReadDeadline(time.Now())
	}
	g.receivers.Wait()
	for _, p := range g.peers {
		_ = p.SetReadDeadline(time.Time{})
	}
}

// receive receives the notices that a peer gets until its socket is closed or
// stopReceiving is called.
func (g *fixture) receive(peer *net.UDPConn) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := peer.Read(buffer)
		if err != nil {
			return
		}
		var n thfleet.Notice
		if cbor.Unmarshal(buffer[:size], &n) != nil {
			continue
		}
		if n.Repeated {
			g.repeated.Add(1)
		}
		if n.From == thfleet.VMKeyOf("self") && len(n.Loads) > 0 {
			g.loads <- n.Loads[0].InFlight
		}
	}
}

// sendFromPeer sends a notice of the peer with the given index, which keeps it live.
func (g *fixture) sendFromPeer(i int, sequence uint32) {
	g.t.Helper()
	id := thfleet.Identity{ID: fmt.Sprintf("peer-%d", i), Zone: zone, Address: g.peers[i].LocalAddr().String()}
	g.send(g.peers[i], thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: sequence, Identity: &id})
}

func (g *fixture) send(from *net.UDPConn, n thfleet.Notice) {
	g.t.Helper()
	data, err := cbor.Marshal(n)
	assert.NilError(g.t, err)
	to, err := net.ResolveUDPAddr("udp", g.address)
	assert.NilError(g.t, err)
	_, err = from.WriteToUDP(data, to)
	assert.NilError(g.t, err)
}

// relay lets the exchange relay notices of a VM in another zone until it has sent that
// many bytes for them.
func (g *fixture) relay(bytes uint64) {
	g.t.Helper()
	from := listenUDP(g.t)
	defer func() { _ = from.Close() }()
	id := thfleet.Identity{ID: "other", Zone: "other", Address: from.LocalAddr().String()}
	g.waitUntil("the notices are relayed", func() bool {
		g.sent++
		g.sendFromPeer(int(g.sent)%len(g.peers), g.sent+1)
		g.send(from, thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: g.sent, Identity: &id, Relay: true})
		return g.exchange.Stats().RelayedBytes >= bytes
	})
}

// startRequest starts an attempt, as a request does.
func (g *fixture) startRequest() {
	g.t.Helper()
	g.view.WithView(func(now thclock.Instant, v *thview.View) { g.pick(now, v) })
	g.exchange.Wake()
}

func (g *fixture) pick(now thclock.Instant, v *thview.View) (thview.Picked, *thmessage.Request) {
	g.t.Helper()
	request := &thmessage.Request{Route: thtable.Route{Name: "r"}, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	p, refusal := v.Pick(now, request, "s0", nil, false)
	assert.Assert(g.t, refusal == nil)
	return p, request
}

// failRequest makes an attempt that fails.
func (g *fixture) failRequest() {
	g.t.Helper()
	g.view.WithView(func(now thclock.Instant, v *thview.View) {
		p, request := g.pick(now, v)
		v.Finish(now, p, request, thhealth.Failed, time.Millisecond)
	})
	g.exchange.Wake()
}

// Evidence that is sent once does not reach a VM whose datagram is lost. Repeats must go out though
// nothing else makes the exchange send.
func TestEvidenceIsSentAgain(t *testing.T) {
	g := newFixture(t, 2)
	g.failRequest()
	g.waitUntil("both peers have received both repeats", func() bool { return g.repeated.Load() == 4 })
}

// A VM that has used up its rate must not send repeats, which would hold back what is new.
func TestRepeatsWaitForRate(t *testing.T) {
	g := newFixture(t, 12)
	g.useUpRate()
	g.failRequest()
	<-g.loads // evidence itself is sent
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, g.repeated.Load(), int32(0))
}

// A VM that relays many notices of others must still send its own counts: the others
// decide by them which targets are busy.
func TestRelayingDoesNotHoldBackOwnCounts(t *testing.T) {
	g := newFixture(t, 12)
	g.relay(1_000_000)
	g.startRequest()
	g.waitForLoad()
}

// waitForLoad waits until a peer has received the count of one request in flight.
func (g *fixture) waitForLoad() {
	g.t.Helper()
	select {
	case count := <-g.loads:
		assert.Equal(g.t, count, uint16(1))
	case <-time.After(testTimeout):
		g.t.Fatal("no notice with the request arrived")
	}
}

// A VM that has used up its rate must still send its counts with its heartbeat.
func TestHeartbeatCarriesCounts(t *testing.T) {
	g := newFixture(t, 12)
	g.useUpRate()
	g.startRequest()
	g.waitForLoad()
}

// useUpRate lets the exchange send so much that its rate has nothing left for half a minute.
func (g *fixture) useUpRate() {
	g.t.Helper()
	for g.exchange.Stats().SentBytes < 1_000_000 {
		g.exchange.AnnounceVersions(thfleet.StoreVersions{Table: 1, Targets: thtable.Position{Version: 1}}, thfleet.ReadAges{}, false)
		g.sent++
		g.sendFromPeer(int(g.sent)%len(g.peers), g.sent+1)
	}
}
