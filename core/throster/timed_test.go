package throster_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

const (
	tick       = 50 * time.Millisecond
	storeDelay = 5 * time.Millisecond
	peerDelay  = 3 * time.Millisecond
	callLimit  = time.Second
	// callBytes is what HTTP adds to the two bodies of a call.
	callBytes = 320
)

// event is something due at a moment.
type event struct {
	at time.Duration
	f  func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// timed is a fleet that runs by its schedules with message delays.
type timed struct {
	now      time.Duration
	due      events
	rng      *rand.Rand
	nodes    []*throster.Node
	vms      []throster.VM
	schedule []throster.Schedule
	dead     []bool
	roster   throster.Roster
	stored   uint64
	down     bool
	loss     float64

	calls, bytes, heads int
	wireBytes           int
	unfresh, looked     int
	worstAge            time.Duration
}

func newTimed(size int, loss float64) *timed {
	s := &timed{rng: rand.New(rand.NewPCG(1, uint64(size))), loss: loss, now: time.Hour, stored: 1, dead: make([]bool, size)}
	for i := range size {
		s.vms = append(s.vms, throster.VM{ID: fmt.Sprintf("vm-%03d", i), PeerAddress: fmt.Sprint(i), Incarnation: 1})
	}
	s.roster = throster.NewRoster(1, s.vms)
	s.schedule = make([]throster.Schedule, size)
	for i := range size {
		n := throster.NewNode(s.vms[i])
		n.Advance(1, s.roster)
		s.nodes = append(s.nodes, n)
		s.after(time.Duration(s.rng.Int64N(int64(tick))), func() { s.tick(i) })
	}
	return s
}

func (s *timed) after(d time.Duration, f func()) { heap.Push(&s.due, event{s.now + d, f}) }

func (s *timed) run(d time.Duration) {
	end := s.now + d
	for len(s.due) > 0 && s.due[0].at <= end {
		e := heap.Pop(&s.due).(event)
		s.now = e.at
		e.f()
	}
	s.now = end
}

func (s *timed) tick(i int) {
	if s.dead[i] {
		return
	}
	s.after(tick, func() { s.tick(i) })
	n := s.nodes[i]
	s.looked++
	s.worstAge = max(s.worstAge, s.now-n.AsOf().Mono)
	if thclock.At(s.now).Passed(n.Deadline()) {
		s.unfresh++
	}
	if s.duties(i) {
		s.readHead(i)
	}
}

// duties does what the schedule says, and reports whether to read the head.
func (s *timed) duties(i int) bool {
	d := s.schedule[i].Due(thclock.At(s.now), s.rng, s.nodes[i])
	for _, v := range d.Ask {
		s.ask(i, v, false, func() {})
	}
	for _, v := range d.Tell {
		s.ask(i, v, true, func() {})
	}
	return d.ReadHead
}

func (s *timed) readHead(i int) {
	n := s.nodes[i]
	s.heads++
	sent, had := thclock.At(s.now), n.Version()
	s.after(storeDelay, func() {
		if s.down {
			return
		}
		head := s.stored
		s.after(storeDelay, func() {
			n.Advance(head, s.roster)
			n.HeadRead(sent, had, head)
		})
	})
}

func (s *timed) delay() time.Duration {
	return peerDelay/3 + time.Duration(s.rng.Int64N(int64(peerDelay)))
}

// ask makes one call; a push carries the asker's version along.
func (s *timed) ask(i int, v throster.VM, push bool, done func()) {
	var j int
	_, _ = fmt.Sscan(v.PeerAddress, &j)
	n, sent, q := s.nodes[i], thclock.At(s.now), s.nodes[i].Ask()
	q.Brief = push
	s.calls++
	if s.dead[j] || s.rng.Float64() < s.loss {
		s.after(callLimit, func() {
			s.schedule[i].Failed(v.ID)
			done()
		})
		return
	}
	s.after(s.delay(), func() {
		if push {
			s.nodes[j].Advance(q.Version, s.roster)
			s.duties(j)
		}
		a := s.nodes[j].Answer(thclock.At(s.now), q)
		s.count(q, a)
		s.after(s.delay(), func() {
			s.schedule[i].Worked(v.ID)
			n.Advance(a.Version, s.roster)
			n.Answered(sent, a)
			done()
		})
	})
}

func (s *timed) count(q throster.Question, a throster.Answer) {
	if s.wireBytes == 0 || !q.Brief && s.calls%101 == 0 {
		x, _ := json.Marshal(q)
		y, _ := json.Marshal(a)
		s.wireBytes = len(x) + len(y) + callBytes
	}
	s.bytes += s.wireBytes
}

// change stores a change at a VM and lets it spread; it returns how long
// acceptance took, and how long until every VM had it.
func (s *timed) change(i int, push bool) (accepted, everywhere time.Duration) {
	s.stored++
	version, begin := s.stored, s.now
	s.nodes[i].Advance(version, s.roster)
	s.duties(i)
	if push {
		s.push(i, s.nodes[i].Lacking(version))
	}
	for everywhere == 0 || accepted == 0 {
		s.run(time.Millisecond)
		if accepted == 0 && s.nodes[i].Tally(version).Accepted {
			accepted = s.now - begin
		}
		if everywhere == 0 && s.all(func(n *throster.Node) bool { return n.Version() >= version }) {
			everywhere = s.now - begin
		}
		if s.now-begin > time.Minute {
			return time.Minute, time.Minute
		}
	}
	return accepted, everywhere
}

// push brings the change to the others, 128 calls at a time as thagree does.
func (s *timed) push(i int, vs []throster.VM) {
	next := 0
	var one func()
	one = func() {
		if next < len(vs) {
			next++
			s.ask(i, vs[next-1], true, one)
		}
	}
	for range 128 {
		one()
	}
}

func (s *timed) all(f func(*throster.Node) bool) bool {
	for i, n := range s.nodes {
		if !s.dead[i] && !f(n) {
			return false
		}
	}
	return true
}

type timedCase struct {
	name   string
	loss   float64
	down   bool
	push   bool
	zones  int // zones of six that are gone
	change int
}

func BenchmarkSpread(b *testing.B) {
	cases := []timedCase{
		{name: "whole", push: true, change: 10},
		{name: "loss20", loss: 0.2, push: true, change: 10},
		{name: "zoneGone", push: true, zones: 1, change: 10},
		{name: "spreaderDead", change: 10},
		{name: "storeDown", down: true, change: 10},
		{name: "storeDownLoss20", down: true, loss: 0.2, change: 10},
		{name: "storeDownZoneGone", down: true, zones: 1, change: 10},
		{name: "storeDownTwoZonesGone", down: true, zones: 2, change: 10},
	}
	for _, size := range []int{40, 115, 230, 460} {
		for i, c := range cases {
			if i > 0 && size != 40 && size != 460 {
				continue
			}
			b.Run(fmt.Sprintf("%s/%d", c.name, size), func(b *testing.B) {
				for b.Loop() {
					spread(b, size, c)
				}
			})
		}
	}
}

func spread(b *testing.B, size int, c timedCase) {
	b.Helper()
	s := newTimed(size, c.loss)
	s.run(10 * time.Second)
	s.down = c.down
	for i := range size * c.zones / 6 {
		s.dead[size-1-i] = true
	}
	s.calls, s.bytes, s.heads, s.looked, s.unfresh = 0, 0, 0, 0, 0
	s.worstAge = 0
	s.run(20 * time.Second)
	seconds := 20 * float64(size)
	b.ReportMetric(float64(s.unfresh)/float64(s.looked), "unfresh-share")
	b.ReportMetric(2*float64(s.calls)/seconds, "calls/s/VM")
	b.ReportMetric(2*float64(s.bytes)/seconds, "B/s/VM")
	b.ReportMetric(float64(s.heads)/20, "headReads/s")
	b.ReportMetric(s.worstAge.Seconds(), "s-oldestKnowledge")
	var worstAccepted, worstEverywhere time.Duration
	for range c.change {
		a, e := s.change(0, c.push)
		worstAccepted, worstEverywhere = max(worstAccepted, a), max(worstEverywhere, e)
		s.run(time.Second)
	}
	b.ReportMetric(worstAccepted.Seconds(), "s-accepted")
	b.ReportMetric(worstEverywhere.Seconds(), "s-everywhere")
	b.ReportMetric(0, "ns/op")
}
