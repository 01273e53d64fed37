package thview_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const (
	// controlBytesPerSecond is the two-year target for what a VM sends, and for what it
	// receives, to control the fleet.
	controlBytesPerSecond = 27_000
	// datagramHeaderBytes is the size of a datagram's IPv4 and UDP headers.
	datagramHeaderBytes = 28
	// queueLength is how many requests a target queues before it rejects more.
	queueLength = 8
)

// largeFleet simulates many VMs in several zones that forward requests to many targets of
// one service. Notices reach only the VMs that they are sent to, through relays.
type largeFleet struct {
	ids     []thfleet.Identity
	views   []*thview.View
	indexOf map[thfleet.VMKey]int
	rng     *rand.Rand
	now     time.Duration
	// events holds what happens next, ordered by time.
	events []event
	// inFlight, sent and failsFrom hold, by target, the requests in flight, those ever
	// sent, and the time from which all requests fail.
	inFlight  map[string]int
	sent      map[string]int
	failsFrom map[string]time.Duration
	// sentBytes and receivedBytes count by VM.
	sentBytes, receivedBytes []int
	// rates limit the repeats of the VMs, as the exchange of notices does.
	rates []thfleet.SendRate
	// repeating is set for VMs that will look for repeats.
	repeating []bool
	// lossPercent is the share of datagrams that are lost.
	lossPercent             int
	rejected, failed, total int
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

// noticeDelay is how long a notice takes from one VM to another.
const noticeDelay = time.Millisecond

func newLargeFleet(tb testing.TB, vms, zones, targets int) *largeFleet {
	tb.Helper()
	f := &largeFleet{
		indexOf: map[thfleet.VMKey]int{}, rng: rand.New(rand.NewPCG(3, 3)), now: time.Hour, inFlight: map[string]int{},
		sent: map[string]int{}, failsFrom: map[string]time.Duration{}, sentBytes: make([]int, vms), receivedBytes: make([]int, vms),
		rates: make([]thfleet.SendRate, vms), repeating: make([]bool, vms),
	}
	var ts []thtable.Target
	for i := range targets {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: fmt.Sprintf("zone-%d", i%zones), Slots: slots})
	}
	for i := range vms {
		id := thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		f.ids = append(f.ids, id)
		f.indexOf[thfleet.VMKeyOf(id.ID)] = i
		v := thview.New(thview.Options{Self: id, StartMillis: 1, FloorShare: largeFloorShare, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		v.SetTargets(f.instant(), ts)
		v.MarkJoined(f.instant())
		f.views = append(f.views, v)
	}
	for _, other := range f.views {
		n := other.Introduction(false)
		for _, v := range f.views {
			v.Receive(f.instant(), n)
		}
	}
	return f
}

func (f *largeFleet) instant() thclock.Instant { return thclock.At(f.now) }

func (f *largeFleet) after(delay time.Duration, do func()) {
	e := event{f.now + delay, do}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int { return int(a.at - b.at) })
	f.events = slices.Insert(f.events, i, e)
}

// transmit sends a datagram from one VM to others, and returns its length without headers.
func (f *largeFleet) transmit(from int, n thfleet.Notice, to []thfleet.Peer) int {
	data, err := cbor.Marshal(n)
	if err != nil {
		panic(err)
	}
	for _, p := range to {
		f.sentBytes[from] += len(data) + datagramHeaderBytes
		if f.rng.IntN(100) < f.lossPercent {
			continue
		}
		f.after(noticeDelay, func() { f.receive(f.indexOf[p.Key], n, len(data)) })
	}
	return len(data)
}

// receive handles a datagram as the exchange of notices does.
func (f *largeFleet) receive(to int, n thfleet.Notice, length int) {
	f.receivedBytes[to] += length + datagramHeaderBytes
	v := f.views[to]
	u := v.Receive(f.instant(), n)
	if n.WantsIdentity {
		f.transmit(to, v.Introduction(false), []thfleet.Peer{{Key: n.From}})
	}
	if n.ShouldRelay(u) {
		members := v.Fleet.InZone(v.RelayMembers(n), n.From)
		n.Relay = false
		f.transmit(to, n, members)
	}
}

// flush sends the notices that are pending at a VM, and those again that have to be. It returns the
// VMs that they concern.
func (f *largeFleet) flush(vm int) (members []thfleet.Member) {
	v := f.views[vm]
	for _, o := range v.TakeNotices(f.instant()) {
		f.send(vm, o)
		members = append(members, o.Members...)
	}
	f.scheduleRepeats(vm)
	return members
}

func (f *largeFleet) scheduleRepeats(vm int) {
	at, ok := f.views[vm].NextRepeat()
	if !ok || f.repeating[vm] {
		return
	}
	f.repeating[vm] = true
	wait := max(at.Sub(f.instant()), f.rates[vm].SpareAt(f.instant()).Sub(f.instant()))
	f.after(wait, func() {
		f.repeating[vm] = false
		if !f.instant().Before(f.rates[vm].SpareAt(f.instant())) {
			for _, o := range f.views[vm].TakeRepeats(f.instant()) {
				f.send(vm, o)
			}
		}
		f.scheduleRepeats(vm)
	})
}

// send sends a notice of a VM to those that it concerns, through relays.
func (f *largeFleet) send(vm int, o thview.Outgoing) {
	direct, relays := o.Recipients(f.views[vm].Fleet)
	length := f.transmit(vm, o.Notice, direct)
	o.Notice.Relay = true
	length = max(length, f.transmit(vm, o.Notice, relays))
	datagrams := len(direct) + len(relays) + f.views[vm].Fleet.RelayedDatagrams(o.Members, relays)
	f.rates[vm] = f.rates[vm].WithSent(f.instant(), length, datagrams)
}

// request sends one request through a random VM. It takes the given time at a target with
// a free slot, and longer in proportion if the target has more in flight.
func (f *largeFleet) request(latency time.Duration) {
	vm := f.rng.IntN(len(f.views))
	v := f.views[vm]
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: 4 * latency.Milliseconds()},
		Objective: f.instant().Add(4 * latency), Deadline: f.instant().Add(10 * latency),
	}
	p, refusal := v.Pick(f.instant(), q, "s", nil, false)
	f.total++
	if refusal != nil {
		f.rejected++
		return
	}
	f.flush(vm)
	id := p.Target.ID
	f.sent[id]++
	outcome, took := thhealth.Answered, latency
	switch from, fails := f.failsFrom[id]; {
	case f.inFlight[id] >= slots+queueLength:
		outcome, took = thhealth.Rejected, time.Millisecond
		f.rejected++
	case fails && f.now >= from:
		outcome, took = thhealth.Failed, 10*time.Millisecond
		f.failed++
	default:
		took *= time.Duration(1 + f.inFlight[id]/slots)
	}
	f.inFlight[id]++
	f.after(took, func() {
		f.inFlight[id]--
		v.Finish(f.instant(), p, q, outcome, took)
		f.flush(vm)
	})
}

// run lets the time pass with perSecond requests a second, and VMs that probe each other.
func (f *largeFleet) run(span time.Duration, perSecond int, latency time.Duration) {
	for until := f.now + span; f.now < until; {
		next := f.now + time.Duration(f.rng.ExpFloat64()/float64(perSecond)*float64(time.Second))
		for len(f.events) > 0 && f.events[0].at <= next {
			e := f.events[0]
			f.events = f.events[1:]
			f.now = e.at
			e.do()
		}
		if f.now/thfleet.ProbeInterval != next/thfleet.ProbeInterval {
			for i, v := range f.views {
				probe, _ := v.Probe(f.instant())
				f.transmit(i, v.Introduction(true), probe)
			}
		}
		f.now = next
		f.request(latency)
	}
}

// The load of a large deployment: VMs, zones, targets of its largest service, and that
// service's requests a second on its heaviest day.
const (
	largeVMs, largeZones, largeTargets = 444, 5, 286
	largePerSecond                     = 905
	largeLatency                       = 220 * time.Millisecond
	// largeFloorShare is the share of the targets that must stay in use.
	largeFloorShare = 0.7
)

// TestControlTrafficFitsAtLargeFleet guards against VMs that tell all others of each
// request: at 444 VMs, that is a hundred times the traffic that control may cause.
func TestControlTrafficFitsAtLargeFleet(t *testing.T) {
	f := newLargeFleet(t, largeVMs, largeZones, largeTargets)
	const span = 4 * time.Second
	f.run(span, largePerSecond, largeLatency)
	for vm := range f.views {
		sent, received := float64(f.sentBytes[vm])/span.Seconds(), float64(f.receivedBytes[vm])/span.Seconds()
		assert.Assert(t, sent <= controlBytesPerSecond, "VM %d sends %.0f bytes/s", vm, sent)
		assert.Assert(t, received <= controlBytesPerSecond, "VM %d receives %.0f bytes/s", vm, received)
	}
}

// TestLargeFleetSpreadsLoadOverTargets guards against VMs that rank the targets alike and
// all send to the same few.
func TestLargeFleetSpreadsLoadOverTargets(t *testing.T) {
	f := newLargeFleet(t, largeVMs, largeZones, largeTargets)
	f.run(2*time.Second, largePerSecond, largeLatency)
	clear(f.sent)
	f.total, f.rejected = 0, 0
	f.run(4*time.Second, largePerSecond, largeLatency)
	busiest := 0
	for _, n := range f.sent {
		busiest = max(busiest, n)
	}
	mean := float64(f.total) / largeTargets
	assert.Assert(t, float64(busiest) <= 3*mean, "the busiest target gets %d requests, the mean is %.1f", busiest, mean)
	assert.Assert(t, f.rejected == 0, "%d of %d requests are rejected", f.rejected, f.total)
	assert.Assert(t, float64(len(f.sent)) >= largeFloorShare*largeTargets, "%d of %d targets get requests", len(f.sent), largeTargets)
}

// TestFailuresAreAvoidedInLargeFleet lets one target in seven fail all requests. It
// guards against VMs that each have to find out for themselves.
func TestFailuresAreAvoidedInLargeFleet(t *testing.T) {
	f := newLargeFleet(t, largeVMs, largeZones, largeTargets)
	f.run(3*time.Second, largePerSecond, largeLatency)
	failing := 0
	for i := 0; i < largeTargets; i += 7 {
		f.failsFrom[fmt.Sprintf("t%d", i)] = f.now
		failing++
	}
	f.failed = 0
	f.run(4*time.Second, largePerSecond, largeLatency)
	assert.Assert(t, f.failed <= 3*failing, "%d requests fail at %d targets", f.failed, failing)
}

// TestSmallServiceIsSharedByAllVMs guards against a small fleet in which VMs know only a
// part of the evidence.
func TestSmallServiceIsSharedByAllVMs(t *testing.T) {
	f := newLargeFleet(t, 32, 3, 11)
	f.run(time.Second, 50, 100*time.Millisecond)
	v := f.views[0]
	q := &thmessage.Request{Objective: f.instant().Add(time.Second), Deadline: f.instant().Add(time.Second)}
	_, refusal := v.Pick(f.instant(), q, "s", nil, false)
	assert.Assert(t, refusal == nil)
	outgoing := v.TakeNotices(f.instant())
	assert.Equal(t, len(outgoing), 1)
	assert.Equal(t, len(outgoing[0].Members), 32)
}

// BenchmarkControlTraffic reports the bytes a second that the busiest VM sends and
// receives for one service, at the load of deployments of several sizes.
func BenchmarkControlTraffic(b *testing.B) {
	for _, c := range []struct{ vms, zones, targets, perSecond int }{{32, 3, 11, 31}, {110, 4, 96, 385}, {444, 5, 286, 905}, {1000, 5, 644, 2038}} {
		b.Run(fmt.Sprint(c.vms), func(b *testing.B) {
			const span = 4 * time.Second
			var sent, received int
			for range b.N {
				f := newLargeFleet(b, c.vms, c.zones, c.targets)
				f.run(span, c.perSecond, largeLatency)
				sent, received = slices.Max(f.sentBytes), slices.Max(f.receivedBytes)
			}
			b.ReportMetric(float64(sent)/span.Seconds(), "sentB/s")
			b.ReportMetric(float64(received)/span.Seconds(), "receivedB/s")
		})
	}
}
