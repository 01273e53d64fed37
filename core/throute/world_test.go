package throute_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// balancer is what the measured policy and the naive one have in common.
type balancer interface {
	EnterNow(q *threquest.Request) bool
	Wait(now thclock.Instant, q *threquest.Request, w *call) ([]*call, error)
	Leave(now thclock.Instant, q *threquest.Request, took time.Duration) (turns, expired []*call)
	Cancel(q *threquest.Request, w *call) bool
	Pick(now thclock.Instant, t *throute.Try) (string, error)
	Patience(now thclock.Instant, t *throute.Try) time.Duration
	Settle(t *throute.Try, a threquest.Attempt, blamed bool) throute.Decision
	Again(q *threquest.Request, r throute.Repeat) bool
	Set() throute.Set
}

// workload is one service of one user.
type workload struct {
	user    string
	targets int
	slots   int
	crossMS float64 // one way between zones, in milliseconds
	share   float64 // of the service's capacity that is asked for
	health  thconfig.HealthPolicy
}

const (
	vmCount      = 40
	serviceTime  = 25 * time.Millisecond
	serviceSigma = 0.5 // of the logarithm
	backlog      = 2   // waiting requests a slot, beyond which a target sheds
	timeout      = 2 * time.Second
	origin       = time.Hour
)

// customers and their shares of the requests: few are large.
var customerShares = []float64{0.32, 0.24, 0.14, 0.10, 0.08, 0.06, 0.04, 0.02}

// fault is what goes wrong with a target, from a moment on.
type fault struct {
	slow    float64 // factor; 0 is none
	fail    float64 // share answered with 500
	wrong   float64 // share whose answer is broken
	frozen  bool    // nothing answers
	period  time.Duration
	lyLoad  bool // reports no load when it is full and the reverse
	onlyVM  int  // 1 + the VM whose path has the fault; 0 is the target's own
	leaving bool // says so in its answers
	silent  int  // how many open connections of each VM have gone silent
}

func (f fault) active(since time.Duration) bool {
	if f == (fault{}) || since < 0 {
		return false
	}
	return f.period == 0 || int(since/f.period)%2 == 0
}

// event is something that happens at a moment of the scripted clock.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world drives the balancers of all VMs with one scripted clock.
type world struct {
	w       workload
	spec    thconfig.Service
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	vms     []*fakeVM
	targets []*fakeTarget
	onset   time.Duration
	faults  []fault // by target
	surge   surge
	result  result
}

// surge is more requests than usual, from the onset on.
type surge struct {
	factor float64 // of the whole usual rate; 0 is none
	length time.Duration
	one    bool // by the largest customer alone
	resend bool // callers send again what was refused or failed
}

type fakeVM struct {
	index int
	b     balancer
	full  *throute.Balancer[*call] // nil for the naive one
	key   uint32
	open  []bool
	// silent counts down the silent connections, by target.
	silent []int
	pacer  thhealth.Pacer
	found  []time.Duration // by target: when it was first ejected after the onset
}

type fakeTarget struct {
	index   int
	address string
	running int
	waiting []*work
}

type work struct {
	c        *call
	canceled bool
	done     func(status int, broken bool)
	started  bool
}

// call is one request on its way.
type call struct {
	vm      *fakeVM
	q       *threquest.Request
	t       throute.Try
	begun   time.Duration
	turn    time.Duration
	over    bool
	resent  int
	pending bool
}

func newWorld(w workload, seed uint64, faults map[int]fault, onset time.Duration, ours bool) *world {
	x := &world{w: w, rng: rand.New(rand.NewPCG(seed, 7)), onset: onset, faults: make([]fault, w.targets)}
	x.spec = thconfig.Service{Name: w.user, Slots: w.slots, Connections: 300, Floor: 0.5, TimeoutMillis: int(timeout / time.Millisecond), ShedStatus: 429, Health: w.health}
	for i := range w.targets {
		a := fmt.Sprintf("10.0.0.%d:80", i+1)
		x.spec.Targets = append(x.spec.Targets, thconfig.Target{Address: a, Zone: fmt.Sprint(i % 3)})
		x.targets = append(x.targets, &fakeTarget{index: i, address: a})
		x.faults[i] = faults[i]
	}
	for i := range vmCount {
		v := &fakeVM{index: i, key: uint32(i + 1), open: make([]bool, w.targets), found: make([]time.Duration, w.targets), silent: make([]int, w.targets)}
		for j := range v.silent {
			v.silent[j] = x.faults[j].silent
		}
		place := throute.Place{ID: fmt.Sprint("vm", i), VMs: vmCount}
		if ours {
			v.full = throute.NewBalancer[*call](x.instant(), x.spec, place, rand.New(rand.NewPCG(seed, uint64(i))))
			v.b = v.full
			x.every(judgeEvery, time.Duration(i)*judgeEvery/vmCount, func() { x.judge(v) })
			x.every(exchangeEvery, time.Duration(i)*exchangeEvery/vmCount, func() { x.exchange(v) })
		} else {
			n := newNaive(x.spec, i)
			v.b = n
			x.every(judgeEvery, time.Duration(i)*judgeEvery/vmCount, func() {
				n.now = x.instant()
				x.watch(v)
			})
		}
		x.vms = append(x.vms, v)
	}
	x.result.capacity = 1
	return x
}

const (
	judgeEvery      = 250 * time.Millisecond
	exchangeEvery   = 250 * time.Millisecond
	cellsPerMessage = 24
)

func (x *world) instant() thclock.Instant { return thclock.At(origin + x.now) }

func (x *world) after(d time.Duration, f func()) {
	x.seq++
	heap.Push(&x.queue, event{x.now + d, x.seq, f})
}

func (x *world) every(d, first time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		x.after(d, again)
	}
	x.after(first, again)
}

// run plays the world for the given time.
func (x *world) run(d time.Duration) result {
	for range customerShares {
		x.result.asked = append(x.result.asked, 0)
		x.result.well = append(x.result.well, 0)
	}
	x.arrive()
	if x.surge.factor > 0 {
		x.after(x.onset, x.arriveMore)
	}
	for x.now < d {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.run()
	}
	x.result.hours = d.Hours() * vmCount
	x.collectDetections(d)
	return x.result
}

func (x *world) rate() float64 {
	return x.w.share * float64(x.w.targets*x.w.slots) / serviceTime.Seconds()
}

func (x *world) arrive() {
	gap := time.Duration(x.rng.ExpFloat64() / x.rate() * float64(time.Second))
	x.after(gap, func() {
		x.arrive()
		x.request(x.vms[x.rng.IntN(len(x.vms))], x.customer())
	})
}

// arriveMore adds the surge's requests to the usual ones.
func (x *world) arriveMore() {
	if x.now > x.onset+x.surge.length {
		return
	}
	gap := time.Duration(x.rng.ExpFloat64() / (x.rate() * x.surge.factor) * float64(time.Second))
	x.after(gap, func() {
		x.arriveMore()
		customer := 0
		if !x.surge.one {
			customer = x.customer()
		}
		x.request(x.vms[x.rng.IntN(len(x.vms))], customer)
	})
}

func (x *world) customer() int {
	r := x.rng.Float64()
	for i, s := range customerShares {
		if r -= s; r < 0 {
			return i
		}
	}
	return 0
}

func (x *world) request(v *fakeVM, customer int) {
	method := "GET"
	if x.rng.Float64() < 0.3 {
		method = "POST"
	}
	x.requestAgain(v, customer, method, 0)
}

// requestAgain makes a request that was sent some times before.
func (x *world) requestAgain(v *fakeVM, customer int, method string, resent int) {
	now := x.instant()
	c := &call{vm: v, begun: x.now, resent: resent, q: &threquest.Request{
		Customer: thconfig.Customer{Name: fmt.Sprint(customer)}, Service: x.spec, Method: method, Deadline: now.Add(timeout),
	}}
	c.t.Request = c.q
	x.result.asked[customer]++
	if v.b.EnterNow(c.q) {
		x.begin(c)
		return
	}
	displaced, err := v.b.Wait(now, c.q, c)
	for _, o := range displaced {
		x.finish(o, therror.New(therror.QueueFull, ""))
	}
	if err != nil {
		x.finish(c, err)
		return
	}
	c.pending = true
	x.after(timeout, func() {
		if c.pending && v.b.Cancel(c.q, c) {
			x.finish(c, therror.New(therror.QueueTimeout, ""))
		}
	})
}

func (x *world) begin(c *call) {
	c.pending, c.turn = false, x.now
	x.attempt(c)
}

func (x *world) attempt(c *call) {
	now := x.instant()
	if now.Passed(c.q.Deadline) {
		x.end(c, c.t.Refusal(therror.New(therror.QueueTimeout, "")))
		return
	}
	address, err := c.vm.b.Pick(now, &c.t)
	if err != nil {
		x.end(c, c.t.Refusal(err))
		return
	}
	x.result.sends++
	x.send(c, x.byAddress(address), c.vm.b.Patience(now, &c.t))
}

func (x *world) byAddress(a string) *fakeTarget {
	for _, g := range x.targets {
		if g.address == a {
			return g
		}
	}
	panic("unknown target " + a)
}

// settle takes an attempt's end back to the balancer and does what it says.
func (x *world) settle(c *call, a threquest.Attempt) {
	switch d := c.vm.b.Settle(&c.t, a, false).(type) {
	case throute.Deliver:
		if a.Answer.Status >= 500 {
			x.end(c, therror.New(therror.AnswerBroken, ""))
			return
		}
		x.end(c, nil)
	case throute.Refuse:
		x.end(c, c.t.Refusal(d.Err))
	case throute.Repeat:
		x.repeat(c, d)
	}
}

func (x *world) repeat(c *call, r throute.Repeat) {
	if r.Pause == 0 {
		x.attempt(c)
		return
	}
	if x.instant().Add(r.Pause).Passed(c.q.Deadline) {
		x.end(c, c.t.Refusal(therror.New(therror.Shed, "")))
		return
	}
	x.after(r.Pause, func() {
		if c.vm.b.Again(c.q, r) {
			x.attempt(c)
			return
		}
		x.repeat(c, r)
	})
}

// end gives up the call's turn.
func (x *world) end(c *call, err error) {
	x.finish(c, err)
	turns, expired := c.vm.b.Leave(x.instant(), c.q, x.now-c.turn)
	for _, o := range expired {
		o.pending = false
		x.finish(o, therror.New(therror.QueueTimeout, ""))
	}
	for _, o := range turns {
		x.begin(o)
	}
}

func (x *world) judge(v *fakeVM) {
	if !v.full.Due(x.instant()) {
		return
	}
	vs := v.full.Evidence(x.instant()).Judge()
	v.full.Apply(x.instant(), vs)
	x.watch(v)
}

func (x *world) exchange(v *fakeVM) {
	pacer, due := v.pacer.Next(x.instant(), thhealth.Urgent(x.instant(), v.full.Offers(x.instant(), nil)))
	v.pacer = pacer
	if !due {
		return
	}
	p := x.vms[x.rng.IntN(len(x.vms))]
	if p == v {
		return
	}
	there := x.message(v)
	back := x.message(p)
	x.result.cells += len(there) + len(back)
	x.result.calls++
	v.pacer = v.pacer.WithExchange((len(there) + len(back)) * 4 / 3)
	x.after(time.Millisecond, func() { x.receive(p, there) })
	x.after(2*time.Millisecond, func() { x.receive(v, back) })
}

func (x *world) message(v *fakeVM) []byte {
	now := x.instant()
	return thhealth.EncodeCells(thhealth.Collect(now, v.key, v.full.Offers(now, nil), cellsPerMessage))
}

func (x *world) receive(v *fakeVM, data []byte) {
	cells, err := thhealth.DecodeCells(data)
	if err != nil {
		panic(err)
	}
	for _, c := range cells {
		if c.Origin != v.key {
			v.full.Receive(x.instant(), c)
		}
	}
}

// lognormal draws a service time.
func (x *world) lognormal() time.Duration {
	return time.Duration(float64(serviceTime) * math.Exp(serviceSigma*x.rng.NormFloat64()-serviceSigma*serviceSigma/2))
}
