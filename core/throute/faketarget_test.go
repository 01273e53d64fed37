package throute_test

import (
	"slices"
	"strconv"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

func (x *world) faultOf(g *fakeTarget, v *fakeVM) fault {
	f := x.faults[g.index]
	if !f.active(x.now - x.onset) {
		return fault{}
	}
	if f.onlyVM != 0 && f.onlyVM != v.index+1 {
		return fault{}
	}
	return f
}

func (x *world) delay(v *fakeVM, g *fakeTarget) time.Duration {
	if v.index%3 == g.index%3 {
		return 200 * time.Microsecond
	}
	return time.Duration(x.w.crossMS * float64(time.Millisecond))
}

// send carries one attempt to the target and back, or cuts it after the
// patience; the target then drops it.
func (x *world) send(c *call, g *fakeTarget, patience time.Duration) {
	began := x.instant()
	w := &work{c: c}
	settled := false
	settle := func(a threquest.Attempt) {
		if settled {
			return
		}
		settled = true
		a.Target, a.Sent = g.address, true
		a.Began, a.Ended = began, x.instant()
		x.settle(c, a)
	}
	w.done = func(status int, broken bool) {
		f := x.faultOf(g, c.vm)
		load := x.loadHeader(g)
		x.after(x.delay(c.vm, g), func() {
			switch {
			case broken:
				settle(threquest.Attempt{Err: therror.New(therror.AnswerBroken, "")})
			default:
				a := &threquest.Answer{Status: status, Headers: []threquest.Header{load}}
				if f.leaving {
					a.Headers = append(a.Headers, threquest.Header{Name: throute.HeaderState, Value: throute.StateLeaving})
				}
				settle(threquest.Attempt{Answer: a})
			}
		})
	}
	silent := x.now >= x.onset && c.vm.silent[g.index] > 0
	if silent {
		c.vm.silent[g.index]--
	} else {
		x.after(x.delay(c.vm, g), func() { x.take(g, w) })
	}
	x.after(patience, func() {
		if settled {
			return
		}
		w.canceled = true
		settle(threquest.Attempt{Err: therror.New(therror.AnswerLate, ""), Reused: silent})
	})
}

func (x *world) loadHeader(g *fakeTarget) threquest.Header {
	load := g.running + len(g.waiting)
	if f := x.faults[g.index]; f.lyLoad && f.active(x.now-x.onset) {
		load = max(0, x.w.slots*3-load*2)
	}
	return threquest.Header{Name: throute.HeaderLoad, Value: strconv.Itoa(load)}
}

// leavingBy is when a target that said that it is leaving is to get no more
// new work.
const leavingBy = 3 * time.Second

func (x *world) take(g *fakeTarget, w *work) {
	if w.canceled {
		return
	}
	if x.faultOf(g, w.c.vm).frozen {
		return
	}
	if g.running < x.w.slots {
		x.start(g, w)
		return
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(o *work) bool { return o.canceled })
	if len(g.waiting) >= backlog*x.w.slots {
		w.done(x.spec.ShedStatus, false)
		return
	}
	g.waiting = append(g.waiting, w)
}

func (x *world) start(g *fakeTarget, w *work) {
	g.running++
	if x.faults[g.index].leaving && x.now > x.onset+leavingBy {
		x.result.lateWork++
	}
	w.started = true
	f := x.faultOf(g, w.c.vm)
	took := x.lognormal()
	if f.slow > 0 {
		took = time.Duration(float64(took) * f.slow)
	}
	status := 200
	if x.rng.Float64() < f.fail {
		status, took = 500, took/4
	}
	broken := x.rng.Float64() < f.wrong
	x.run1(g, w, took, func() {
		if !w.canceled {
			w.done(status, broken)
		}
	})
}

// run1 holds a slot until the work is done or cancelled.
func (x *world) run1(g *fakeTarget, w *work, took time.Duration, done func()) {
	const step = 50 * time.Millisecond
	if took > step && !w.canceled {
		x.after(step, func() { x.run1(g, w, took-step, done) })
		return
	}
	if w.canceled {
		took = 0
	}
	x.after(took, func() {
		g.running--
		done()
		for len(g.waiting) > 0 && g.running < x.w.slots {
			next := g.waiting[0]
			g.waiting = g.waiting[1:]
			if !next.canceled {
				x.start(g, next)
			}
		}
	})
}

// naive is the baseline: round robin, ejection after some failures in a row,
// repeats at once, first come first served.
type naive struct {
	addresses []string
	next      int
	failures  []int
	until     []thclock.Instant
	slots     int
	inFlight  int
	fifo      []*call
	now       thclock.Instant
	picked    map[*throute.Try]int
}

const (
	naiveFailures = 5
	naiveHold     = 10 * time.Second
	naiveAttempts = 3
	naiveQueue    = 512
)

func newNaive(s serviceSpec, first int) *naive {
	n := &naive{next: first, slots: s.Slots * len(s.Targets), picked: map[*throute.Try]int{}}
	for _, t := range s.Targets {
		n.addresses = append(n.addresses, t.Address)
	}
	n.failures = make([]int, len(n.addresses))
	n.until = make([]thclock.Instant, len(n.addresses))
	return n
}

func (n *naive) EnterNow(*threquest.Request) bool {
	if n.inFlight >= n.slots {
		return false
	}
	n.inFlight++
	return true
}

func (n *naive) Wait(_ thclock.Instant, _ *threquest.Request, w *call) ([]*call, error) {
	if len(n.fifo) >= naiveQueue {
		return nil, therror.New(therror.QueueFull, "")
	}
	n.fifo = append(n.fifo, w)
	return nil, nil
}

func (n *naive) Leave(thclock.Instant, *threquest.Request, time.Duration) (turns, expired []*call) {
	n.inFlight--
	for n.inFlight < n.slots && len(n.fifo) > 0 {
		n.inFlight++
		turns = append(turns, n.fifo[0])
		n.fifo = n.fifo[1:]
	}
	return turns, nil
}

func (n *naive) Cancel(_ *threquest.Request, w *call) bool {
	for i, o := range n.fifo {
		if o == w {
			n.fifo = append(n.fifo[:i:i], n.fifo[i+1:]...)
			return true
		}
	}
	return false
}

func (n *naive) Pick(now thclock.Instant, t *throute.Try) (string, error) {
	n.now = now
	for range n.addresses {
		n.next = (n.next + 1) % len(n.addresses)
		if !now.Before(n.until[n.next]) {
			n.picked[t] = n.next
			return n.addresses[n.next], nil
		}
	}
	return "", therror.New(therror.NoTarget, "")
}

func (n *naive) Patience(now thclock.Instant, t *throute.Try) time.Duration {
	return t.Request.Deadline.Sub(now)
}

func (n *naive) Settle(t *throute.Try, a threquest.Attempt, _ bool) throute.Decision {
	i := n.picked[t]
	delete(n.picked, t)
	bad := a.Err != nil || a.Answer.Status >= 500
	if bad {
		n.failures[i]++
		if n.failures[i] >= naiveFailures {
			n.failures[i] = 0
			n.until[i] = a.Ended.Add(naiveHold)
		}
	} else {
		n.failures[i] = 0
	}
	shed := throute.IsShed(t.Request, a)
	t.Note(a)
	if (shed || bad && t.Request.RepeatSafe()) && t.Attempts() < naiveAttempts {
		return throute.Repeat{}
	}
	switch {
	case shed:
		return throute.Refuse{Err: therror.New(therror.Shed, "")}
	case a.Err != nil:
		return throute.Refuse{Err: a.Err}
	}
	return throute.Deliver{}
}

func (n *naive) Again(*threquest.Request, throute.Repeat) bool { return true }

func (n *naive) Set() throute.Set {
	cs := make([]throute.Candidate, len(n.addresses))
	for i, a := range n.addresses {
		cs[i] = throute.Candidate{Address: a, Sick: n.now.Before(n.until[i])}
	}
	return throute.NewSet(cs, 0)
}
