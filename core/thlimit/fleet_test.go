package thlimit_test

import (
	"container/heap"
	"fmt"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

const (
	freshFor     = 3 * time.Second
	takeoverWait = 2*freshFor + thlimit.LotLife
)

// fleet runs the pure core of some VMs against scripted clocks and links.
type fleet struct {
	now    time.Duration
	nodes  []*node
	events eventQueue
	order  int
	// accepted is what a VM gets when it syncs.
	roster   throster.Roster
	customer thconfig.Customer
	// send decides when a message arrives: once, twice or never.
	send     func(from, to *node) []time.Duration
	stall    func() time.Duration
	admitted []time.Duration
	messages int
}

// node is one VM.
type node struct {
	f         *fleet
	vm        throster.VM
	home      *thlimit.Home
	spender   *thlimit.Spender
	layout    *thlimit.Layout
	customer  thconfig.Customer
	freshTill thclock.Instant
	// monoLag and wallSkew are how far the two clocks have gone astray.
	monoLag  time.Duration
	wallSkew time.Duration
	frozen   time.Duration
	dead     bool
}

type event struct {
	at    time.Duration
	order int
	node  *node
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newFleet(vms int, u thconfig.Customer) *fleet {
	f := &fleet{
		customer: u,
		send:     func(_, _ *node) []time.Duration { return []time.Duration{time.Millisecond} },
		stall:    func() time.Duration { return 0 },
	}
	vs := make([]throster.VM, vms)
	for i := range vs {
		vs[i] = throster.VM{ID: fmt.Sprintf("vm%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1}
	}
	f.roster = throster.NewRoster(1, vs)
	for _, v := range vs {
		f.start(v)
	}
	return f
}

// start brings up a VM that knows nothing but what it syncs.
func (f *fleet) start(v throster.VM) *node {
	n := &node{f: f, vm: v, home: thlimit.NewHome(v, takeoverWait), spender: &thlimit.Spender{}, layout: thlimit.NewLayout(throster.Roster{})}
	f.nodes = append(f.nodes, n)
	n.sync()
	return n
}

// sync lets the VM learn what has been accepted.
func (n *node) sync() {
	now := n.clock()
	if n.f.roster.Version() != n.layout.Roster().Version() {
		n.layout = thlimit.NewLayout(n.f.roster)
		n.home.Adopt(now, n.layout)
	}
	n.customer = n.f.customer
	n.freshTill = now.Add(freshFor)
}

func (f *fleet) syncAll() {
	for _, n := range f.nodes {
		if !n.dead && n.frozen <= f.now {
			n.sync()
		}
	}
}

// clock is the present as the VM sees it. It starts late, as real clocks do.
func (n *node) clock() thclock.Instant {
	t := n.f.now + time.Hour
	return thclock.Instant{Mono: t - n.monoLag, Wall: t + n.wallSkew}
}

// at runs something on a node, once the node is not frozen.
func (f *fleet) at(t time.Duration, n *node, run func()) {
	f.order++
	heap.Push(&f.events, event{t, f.order, n, run})
}

// advance moves time on, and everything that falls due meanwhile happens.
func (f *fleet) advance(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		switch {
		case e.node.dead:
		case e.node.frozen > f.now:
			f.at(e.node.frozen, e.node, e.run)
		default:
			e.run()
		}
	}
	f.now = end
}

func (f *fleet) node(id string) *node {
	for i := len(f.nodes) - 1; i >= 0; i-- {
		if f.nodes[i].vm.ID == id {
			return f.nodes[i]
		}
	}
	return nil
}

// request brings one request to a VM.
func (n *node) request() {
	if n.dead {
		return
	}
	if n.frozen > n.f.now {
		n.f.at(n.frozen, n, n.request)
		return
	}
	n.admit(&thlimit.Try{}, 0)
}

func (n *node) admit(t *thlimit.Try, round int) {
	d := n.spender.Admit(n.clock(), n.layout, n.customer, t)
	if d.Ask != nil {
		n.ask(d.Ask)
	}
	switch d.Verdict {
	case thlimit.Admitted:
		n.f.admitted = append(n.f.admitted, n.f.now)
	case thlimit.Asking, thlimit.Waiting:
		if round > 200 {
			n.spender.Abandon(n.customer.Name, t)
			return
		}
		n.f.at(n.f.now+5*time.Millisecond, n, func() { n.admit(t, round+1) })
	}
}

func (n *node) ask(o *thlimit.Outgoing) {
	f := n.f
	to := f.node(o.Home.ID)
	n.pass(to, func() {
		// The home reads its clock, and may be stopped before it decides.
		now := to.clock()
		if now.Passed(to.freshTill) {
			return
		}
		decide := func() {
			g := to.home.Ask(now, n.vm, to.customer, o.Ask)
			to.pass(n, func() { n.spender.Answer(n.clock(), o.Ask.Part, g) })
		}
		if d := f.stall(); d > 0 {
			to.frozen = f.now + d
			f.at(to.frozen, to, decide)
			return
		}
		decide()
	})
	f.at(f.now+150*time.Millisecond, n, func() { n.spender.Failed(n.clock(), o.Ask.Part, o.Ask.Number) })
}

func (n *node) flush() {
	if n.dead || n.frozen > n.f.now {
		return
	}
	n.report(n.spender.Flush(n.clock()))
	n.home.Prune(n.clock())
}

func (n *node) report(rs []thlimit.Report) {
	for _, r := range rs {
		v, ok := n.layout.Home(r.Part)
		if !ok {
			continue
		}
		to := n.f.node(v.ID)
		n.pass(to, func() { to.home.Report(to.clock(), n.vm, []thlimit.Report{r}) })
	}
}

func (n *node) pass(to *node, run func()) {
	if to == nil {
		return
	}
	for _, d := range n.f.send(n, to) {
		n.f.messages++
		n.f.at(n.f.now+d, to, run)
	}
}

// excess returns by how many tokens the admissions overran a bucket that was
// full at the start. None at all means that they kept to burst + rate*t in
// every window.
func excess(admitted []time.Duration, rate float64, burst int) float64 {
	level, worst := float64(burst), 0.0
	var last time.Duration
	for _, t := range admitted {
		level = min(float64(burst), level+rate*(t-last).Seconds()) - 1
		last = t
		worst = max(worst, -level)
	}
	return worst
}
