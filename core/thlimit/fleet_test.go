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

const freshFor = 3 * time.Second

var takeoverWait = thlimit.TakeoverWait(freshFor)

// fleet runs the pure core of some VMs against scripted clocks and links.
type fleet struct {
	now    time.Duration
	nodes  []*node
	events eventQueue
	order  int
	// accepted is what a VM gets when it syncs.
	roster throster.Roster
	config thconfig.Config
	// unaccepted is set while the newest roster is only stored; early then
	// says whether a VM learns of it all the same.
	unaccepted bool
	former     throster.Roster
	early      func() bool
	limits     []limit
	// send decides when a message arrives: once, twice or never.
	send     func(from, to *node) []time.Duration
	stall    func() time.Duration
	admitted []time.Duration
	messages int
	// count is told of each message.
	count func(message any)
}

// limit is what was accepted at a time.
type limit struct {
	at time.Duration
	thconfig.Customer
}

// node is one VM.
type node struct {
	f         *fleet
	vm        throster.VM
	home      *thlimit.Home
	spender   *thlimit.Spender
	layout    *thlimit.Layout
	config    thconfig.Config
	freshTill thclock.Instant
	// monoLag and wallSkew are how far the two clocks have gone astray.
	monoLag  time.Duration
	wallSkew time.Duration
	frozen   time.Duration
	dead     bool
	waiters  []*waiter
	// inherits is off for a VM that takes no handovers.
	inherits bool
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
		send:  func(_, _ *node) []time.Duration { return []time.Duration{time.Millisecond} },
		stall: func() time.Duration { return 0 },
		count: func(any) {},
		early: func() bool { return true },
	}
	vs := make([]throster.VM, vms)
	for i := range vs {
		vs[i] = throster.VM{ID: fmt.Sprintf("vm%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1}
	}
	f.setRoster(throster.NewRoster(1, vs), 0)
	f.setCustomer(u)
	for _, v := range vs {
		f.start(v)
	}
	return f
}

// setCustomer accepts a customer's parameters.
func (f *fleet) setCustomer(u thconfig.Customer) {
	var change thconfig.Change = thconfig.SetCustomer{Customer: u}
	if f.config.Version() == 0 {
		change = thconfig.PutDeployment{Deployment: thconfig.Deployment{Name: u.Deployment}, Customers: []thconfig.Customer{u}}
	}
	r, err := thconfig.NextRecord(f.config, fmt.Sprint(f.config.Version()), change)
	if err == nil {
		f.config, err = f.config.WithRecord(r)
	}
	if err != nil {
		panic(err)
	}
	f.limits = append(f.limits, limit{f.now, u})
}

// start brings up a VM that knows nothing but what it syncs.
func (f *fleet) start(v throster.VM) *node {
	n := &node{f: f, inherits: true, vm: v, home: thlimit.NewHome(v, freshFor), spender: &thlimit.Spender{}, layout: thlimit.NewLayout(throster.Roster{})}
	f.nodes = append(f.nodes, n)
	n.sync()
	return n
}

// sync lets the VM learn what has been accepted.
func (n *node) sync() {
	now := n.clock()
	n.freshTill = now.Add(freshFor)
	n.config = n.f.config
	n.home.Configure(now, n.config)
	r := n.f.roster
	if n.f.unaccepted && n.layout.Roster().Version() < r.Version() && !n.f.early() {
		r = n.f.former
	}
	if r.Version() < n.layout.Roster().Version() {
		r = n.layout.Roster()
	}
	if !n.f.unaccepted {
		defer n.home.Accept(now, r.Version())
	}
	if r.Version() == n.layout.Roster().Version() {
		n.home.Confirm(now)
		return
	}
	joined := n.layout.Roster().Len() == 0
	n.layout = thlimit.NewLayout(r)
	n.home.Adopt(now, n.layout)
	n.home.Accept(now, n.f.former.Version())
	n.home.Confirm(now)
	if joined {
		if !n.f.unaccepted {
			n.pull(n.home.Gained(now, n.config.Customers(), 0))
		}
		return
	}
	n.home.Lose(now, n.config.Customers())
}

// setRoster stores a roster, and accepts it after a time.
func (f *fleet) setRoster(r throster.Roster, after time.Duration) {
	if !f.unaccepted {
		f.former = f.roster
	}
	f.roster = r
	if after == 0 {
		f.former = r
		f.unaccepted = false
		return
	}
	f.unaccepted = true
	f.at(f.now+after, &node{f: f}, func() {
		if f.roster.Version() == r.Version() {
			f.former, f.unaccepted = r, false
		}
	})
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
	n.admit(n.f.limits[0].Name, &thlimit.Try{}, 0)
}

// admit decides on a request and, once it is decided, tells the fleet.
func (n *node) admit(customer string, t *thlimit.Try, round int) {
	n.admitThen(customer, t, round, func(admitted bool) {
		if admitted {
			n.f.admitted = append(n.f.admitted, n.f.now)
		}
	})
}

func (n *node) admitThen(customer string, t *thlimit.Try, round int, done func(bool)) {
	u, _ := n.config.Customer(customer)
	d := n.spender.Admit(n.clock(), n.layout, u, t)
	if d.Ask != nil {
		n.ask(d.Ask)
	}
	if d.Notice != nil {
		n.report([]thlimit.Notice{*d.Notice})
	}
	switch d.Verdict {
	case thlimit.Admitted:
		done(true)
	case thlimit.OverLimit, thlimit.Unreachable:
		done(false)
	case thlimit.Asking, thlimit.Waiting:
		if round > 200 {
			n.spender.Abandon(customer, t)
			done(false)
			return
		}
		w := &waiter{again: func() { n.admitThen(customer, t, round+1, done) }}
		n.waiters = append(n.waiters, w)
		n.f.at(n.f.now+thlimit.HedgeAfter, n, w.wake)
	}
}

// waiter is a request that waits for an answer.
type waiter struct {
	again func()
	woken bool
}

func (w *waiter) wake() {
	if !w.woken {
		w.woken = true
		w.again()
	}
}

func (n *node) answered() {
	ws := n.waiters
	n.waiters = nil
	for _, w := range ws {
		w.wake()
	}
}

func (n *node) ask(o *thlimit.Outgoing) {
	f := n.f
	f.count(o.Ask)
	to := f.node(o.Home.ID)
	if o.Home.ID == n.vm.ID {
		to = n
	}
	n.pass(to, func() {
		// The home reads its clock, and may be stopped before it decides.
		now := to.clock()
		if now.Passed(to.freshTill) {
			return
		}
		decide := func() {
			g, ids := to.home.Ask(now, n.vm, o.Ask)
			to.recall(ids, o.Ask.Part)
			f.count(g)
			to.pass(n, func() {
				n.spender.Answer(n.clock(), o.Ask.Part, g)
				n.answered()
			})
		}
		if d := f.stall(); d > 0 {
			to.frozen = f.now + d
			f.at(to.frozen, to, decide)
			return
		}
		decide()
	})
	f.at(f.now+150*time.Millisecond, n, func() {
		n.spender.Failed(n.clock(), n.layout, o.Ask.Part, o.Ask.Number)
		n.answered()
	})
}

// pull asks the holders of some parts to hand them over.
func (n *node) pull(ms []thlimit.Move) {
	if !n.home.Accepted() {
		return
	}
	for _, m := range ms {
		pull := n.home.StartPull(n.clock())
		q := thlimit.Pull{Roster: n.layout.Roster().Version(), Parts: []thlimit.Part{m.Part}}
		to := n.f.node(m.VM.ID)
		n.pass(to, func() {
			now := to.clock()
			if now.Passed(to.freshTill) {
				return
			}
			es := to.home.Yield(now, n.vm, q)
			to.pass(n, func() {
				if n.inherits {
					n.home.Inherit(n.clock(), pull, es)
				}
			})
		})
	}
}

// leave hands everything over ahead of a planned stop.
func (n *node) leave() {
	n.report(n.spender.Close(n.layout))
	for _, m := range n.home.Retire(n.config.Customers()) {
		to := n.f.node(m.VM.ID)
		n.pass(to, func() { to.pull([]thlimit.Move{{Part: m.Part, VM: n.vm}}) })
	}
}

func (n *node) flush() {
	if n.dead || n.frozen > n.f.now {
		return
	}
	n.report(n.spender.Flush(n.clock(), n.layout))
	n.home.Prune(n.clock())
	for _, m := range n.home.Moving(n.clock()) {
		to := n.f.node(m.VM.ID)
		n.pass(to, func() { to.pull([]thlimit.Move{{Part: m.Part, VM: n.vm}}) })
	}
}

func (n *node) report(ns []thlimit.Notice) {
	for _, o := range ns {
		n.tell(n.f.node(o.Home.ID), n.vm, o.Report)
	}
}

func (n *node) recall(ids []string, p thlimit.Part) {
	for _, id := range ids {
		to := n.f.node(id)
		n.pass(to, func() {
			for _, r := range to.spender.Recall(p) {
				to.tell(n, to.vm, r)
			}
		})
	}
}

func (n *node) tell(to *node, spender throster.VM, r thlimit.Report) {
	n.f.count(r)
	n.pass(to, func() {
		for _, on := range to.home.Report(to.clock(), spender, []thlimit.Report{r}) {
			to.tell(n.f.node(on.Home.ID), spender, on.Report)
		}
	})
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
// every window, where a change counts from its acceptance, and a former larger
// rate or burst until no VM can be acting on it.
func (f *fleet) excess() float64 {
	var last time.Duration
	burst := float64(f.limits[0].Burst)
	level, worst := burst, 0.0
	for _, t := range f.admitted {
		for _, l := range f.limits {
			for _, edge := range []time.Duration{l.at, l.at + freshFor, l.at + freshFor + thlimit.LotLife} {
				if last < edge && edge <= t {
					level, burst = f.fill(level, burst, last, edge)
					last = edge
				}
			}
		}
		level, burst = f.fill(level, burst, last, t)
		last = t
		level--
		worst = max(worst, -level)
	}
	return worst
}

// fill brings an observer's level from one time to a later one between which
// nothing changes.
func (f *fleet) fill(level, burst float64, from, to time.Duration) (float64, float64) {
	rate, _ := f.inForce(from)
	level = min(burst, level+rate*(to-from).Seconds())
	_, now := f.inForce(to)
	return min(now, level+max(0, now-burst)), now
}

// inForce returns the largest rate and burst that a VM may act on at a time.
func (f *fleet) inForce(t time.Duration) (rate, burst float64) {
	for i, l := range f.limits {
		if l.at > t {
			break
		}
		over := i+1 < len(f.limits) && f.limits[i+1].at <= t
		if !over || t < f.limits[i+1].at+freshFor {
			rate = max(rate, l.Rate)
		}
		if !over || t < f.limits[i+1].at+freshFor+thlimit.LotLife {
			burst = max(burst, float64(l.Burst))
		}
	}
	return rate, burst
}
