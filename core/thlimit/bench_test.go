package thlimit_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

const (
	// callBytes and answerBytes are what HTTP adds to a call between VMs and to
	// its answer.
	callBytes   = 220
	answerBytes = 75
	// storeOps is how many writes a second the store takes from the limits.
	storeOps = 500
	// storeTime is one way to the store.
	storeTime = 3 * time.Millisecond
)

// workload is a load on a fleet.
type workload struct {
	name    string
	vms     int
	zones   int
	between time.Duration
	span    time.Duration
	// oneVM sends everything to a single VM.
	oneVM  bool
	storm  bool
	guests []guest
}

// guest is a customer and what it sends, as a multiple of its rate.
type guest struct {
	thconfig.Customer
	sends float64
}

func guests(sends float64, over int, rates []float64, bursts []int) []guest {
	gs := make([]guest, len(rates))
	for i := range gs {
		gs[i] = guest{thconfig.Customer{Name: fmt.Sprintf("customer%d", i), Deployment: "bench", Rate: rates[i], Burst: bursts[i]}, sends}
		if i == over {
			gs[i].sends = 5
		}
	}
	return gs
}

var (
	cordialRates  = []float64{200, 120, 60, 10, 5, 5, 2, 1}
	cordialBursts = []int{100, 60, 30, 10, 5, 5, 5, 2}
	sealRates     = []float64{400, 250, 150, 40, 20, 10, 5, 2}
	sealBursts    = []int{200, 100, 100, 20, 10, 10, 5, 5}
)

func workloads() []workload {
	k, d, s := time.Millisecond, 1500*time.Microsecond, 10*time.Second
	return []workload{
		{"nyabugogo/within", 40, 3, k, s, false, false, guests(0.9, -1, cordialRates, cordialBursts)},
		{"nyabugogo/oneVM", 40, 3, k, s, true, false, guests(0.9, -1, cordialRates, cordialBursts)},
		{"nyabugogo/over", 40, 3, k, s, false, false, guests(0.9, 1, cordialRates, cordialBursts)},
		{"nyabugogo/storm", 40, 3, k, s, false, true, guests(0.5, -1, cordialRates, cordialBursts)},
		{"teifi/within", 40, 3, d, s, false, false, guests(0.9, -1, sealRates, sealBursts)},
		{"teifi/over", 40, 3, d, s, false, false, guests(0.9, 0, sealRates, sealBursts)},
		{"teifi/storm", 40, 3, d, s, false, true, guests(0.5, -1, sealRates, sealBursts)},
		twoYears(),
	}
}

// twoYears is 24,000 customers of very different sizes that send 31,000
// requests a second.
func twoYears() workload {
	const customers, total = 24_000, 31_000
	sum := 0.0
	for i := range customers {
		sum += 1 / math.Pow(float64(i+10), 0.9)
	}
	gs := make([]guest, customers)
	for i := range gs {
		rate := total / 0.7 / math.Pow(float64(i+10), 0.9) / sum
		gs[i] = guest{thconfig.Customer{Name: fmt.Sprintf("customer%d", i), Deployment: "bench", Rate: rate, Burst: max(5, int(rate))}, 0.7}
	}
	return workload{"twoYears/within", 460, 6, time.Millisecond, 4 * time.Second, false, false, gs}
}

// method admits requests; it calls done once it has decided.
type method interface {
	request(vm int, u thconfig.Customer, done func(bool))
}

// bench is one run of a workload.
type bench struct {
	w        workload
	f        *fleet
	rng      *rand.Rand
	m        method
	ideal    map[string]*idealBucket
	got      map[string]*idealBucket
	requests int
	trips    int
	messages int
	bytes    int
	storeOps int
}

// idealBucket is a token bucket that everybody sees without delay.
type idealBucket struct {
	rate, burst, level float64
	last               time.Duration
	admitted           int
	over               float64
}

func newIdeal(u thconfig.Customer) *idealBucket {
	return &idealBucket{rate: u.Rate, burst: float64(u.Burst), level: float64(u.Burst)}
}

func (b *idealBucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
}

func (b *idealBucket) take(now time.Duration) bool {
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	b.admitted++
	return true
}

// observe counts an admission and by how much it overruns the bucket.
func (b *idealBucket) observe(now time.Duration) {
	b.fill(now)
	b.level--
	b.admitted++
	b.over = max(b.over, -b.level)
}

func newBench(w workload) *bench {
	n := &bench{w: w, rng: rand.New(rand.NewPCG(1, 1)), ideal: map[string]*idealBucket{}, got: map[string]*idealBucket{}}
	for _, g := range w.guests {
		n.ideal[g.Name], n.got[g.Name] = newIdeal(g.Customer), newIdeal(g.Customer)
	}
	n.f = benchFleet(w)
	n.f.send = func(from, to *node) []time.Duration { return []time.Duration{n.delay(from.vm, to.vm)} }
	n.f.count = func(m any) { n.message(m) }
	return n
}

func (n *bench) message(m any) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	n.messages++
	n.bytes += len(data) + callBytes
	if _, ok := m.(thlimit.Grant); ok {
		n.bytes += answerBytes - callBytes
	}
}

// delay is one way between two VMs. The upper half of the zones is another region.
func (n *bench) delay(a, b throster.VM) time.Duration {
	switch {
	case a.ID == b.ID:
		return 0
	case a.Zone == b.Zone:
		return 200 * time.Microsecond
	case n.w.zones > 3 && (a.Zone < "d") != (b.Zone < "d"):
		return 15 * time.Millisecond
	}
	return n.w.between
}

func benchFleet(w workload) *fleet {
	us := make([]thconfig.Customer, len(w.guests))
	for i, g := range w.guests {
		us[i] = g.Customer
	}
	f := newFleet(0, thconfig.Customer{Name: "none", Deployment: "none", Rate: 1, Burst: 1})
	r, err := thconfig.NextRecord(f.config, "bench", thconfig.PutDeployment{Deployment: thconfig.Deployment{Name: "bench"}, Customers: us})
	if err == nil {
		f.config, err = f.config.WithRecord(r)
	}
	if err != nil {
		panic(err)
	}
	vs := make([]throster.VM, w.vms)
	for i := range vs {
		vs[i] = throster.VM{ID: fmt.Sprintf("vm%03d", i), Zone: string(rune('a' + i%w.zones)), Incarnation: 1}
	}
	l := thlimit.NewLayout(throster.NewRoster(1, vs))
	for _, v := range vs {
		n := &node{f: f, vm: v, home: thlimit.NewHome(v, freshFor), spender: &thlimit.Spender{}, layout: l, config: f.config}
		n.home.Adopt(n.clock(), l)
		n.home.Accept(n.clock(), 1)
		n.home.Configure(n.clock(), f.config)
		n.freshTill = thclock.At(1000 * time.Hour)
		f.nodes = append(f.nodes, n)
	}
	f.now = 24 * time.Hour
	return f
}

// run plays the workload through the method.
func (n *bench) run() {
	end := n.f.now + n.w.span
	for i, g := range n.w.guests {
		n.arrivals(i, g, end)
	}
	for t := n.f.now; t < end; t += tick {
		n.f.at(t, n.f.nodes[0], func() {
			for _, o := range n.f.nodes {
				o.flush()
			}
		})
	}
	n.f.advance(n.w.span + time.Second)
}

// arrivals are a Poisson stream, and in a storm everyone at once in its middle.
func (n *bench) arrivals(i int, g guest, end time.Duration) {
	rng := rand.New(rand.NewPCG(2, uint64(i)))
	var next func()
	next = func() {
		n.arrive(rng, g, 0)
		n.at(rng, g, next, end)
	}
	n.at(rng, g, next, end)
	if n.w.storm {
		for range 3 * g.Burst {
			n.f.at(end-n.w.span/2+time.Duration(rng.Int64N(int64(200*time.Millisecond))), n.f.nodes[0], func() { n.arrive(rng, g, 5) })
		}
	}
}

func (n *bench) at(rng *rand.Rand, g guest, run func(), end time.Duration) {
	t := n.f.now + time.Duration(rng.ExpFloat64()/(g.sends*g.Rate)*float64(time.Second))
	if t < end {
		n.f.at(t, n.f.nodes[0], run)
	}
}

func (n *bench) arrive(rng *rand.Rand, g guest, retries int) {
	vm := 0
	if !n.w.oneVM {
		vm = rng.IntN(n.w.vms)
	}
	n.requests++
	n.ideal[g.Name].take(n.f.now)
	sent := n.f.now
	n.m.request(vm, g.Customer, func(admitted bool) {
		if n.f.now > sent {
			n.trips++
		}
		if admitted {
			n.got[g.Name].observe(n.f.now)
			return
		}
		if retries > 0 {
			wait := time.Duration(100+rng.IntN(200)) * time.Millisecond
			n.f.at(n.f.now+wait, n.f.nodes[0], func() { n.arrive(rng, g, retries-1) })
		}
	})
}

func (n *bench) report(b *testing.B) {
	b.Helper()
	refused, ideal, worst, over := 0, 0, 1.0, 0.0
	for name, i := range n.ideal {
		g := n.got[name]
		ideal += i.admitted
		refused += max(0, i.admitted-g.admitted)
		over = max(over, g.over)
		if i.admitted >= 20 {
			worst = min(worst, float64(g.admitted)/float64(i.admitted))
		}
	}
	perVM := float64(n.w.vms) * n.w.span.Seconds()
	b.ReportMetric(100*float64(refused)/float64(ideal), "refused%")
	b.ReportMetric(100*worst, "worst%")
	b.ReportMetric(over, "over")
	b.ReportMetric(float64(n.messages)/perVM, "msg/s/VM")
	b.ReportMetric(float64(n.bytes)/perVM, "B/s/VM")
	b.ReportMetric(100*float64(n.trips)/float64(n.requests), "trips%")
	b.ReportMetric(float64(n.storeOps)/n.w.span.Seconds(), "store/s")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkLimits(b *testing.B) {
	methods := []struct {
		name string
		make func(*bench) method
	}{
		{"split", func(n *bench) method { return &splitMethod{n, map[string][]*idealBucket{}} }},
		{"store", func(n *bench) method {
			return &storeMethod{n, map[string]*idealBucket{}, &idealBucket{rate: storeOps, burst: 50, level: 50}}
		}},
		{"home", func(n *bench) method { return &homeMethod{n, map[string]*idealBucket{}} }},
		{"grants", func(n *bench) method { return grantMethod{n} }},
	}
	for _, w := range workloads() {
		for _, m := range methods {
			b.Run(w.name+"/"+m.name, func(b *testing.B) {
				for range b.N {
					n := newBench(w)
					n.m = m.make(n)
					n.run()
					n.report(b)
				}
			})
		}
	}
}

// splitMethod gives each VM an equal share of each bucket.
type splitMethod struct {
	*bench
	buckets map[string][]*idealBucket
}

func (m *splitMethod) request(vm int, u thconfig.Customer, done func(bool)) {
	bs := m.buckets[u.Name]
	if bs == nil {
		bs = make([]*idealBucket, m.w.vms)
		m.buckets[u.Name] = bs
	}
	if bs[vm] == nil {
		share := float64(u.Burst) / float64(m.w.vms)
		bs[vm] = &idealBucket{rate: u.Rate / float64(m.w.vms), burst: share, level: share}
	}
	done(bs[vm].take(m.f.now))
}

// storeMethod counts each request in the store, which takes so many a second.
type storeMethod struct {
	*bench
	buckets  map[string]*idealBucket
	capacity *idealBucket
}

func (m *storeMethod) request(_ int, u thconfig.Customer, done func(bool)) {
	m.f.at(m.f.now+storeTime, m.f.nodes[0], func() {
		b := m.buckets[u.Name]
		if b == nil {
			b = newIdeal(u)
			m.buckets[u.Name] = b
		}
		ok := m.capacity.take(m.f.now)
		if ok {
			m.storeOps++
			ok = b.take(m.f.now)
		}
		m.f.at(m.f.now+storeTime, m.f.nodes[0], func() { done(ok) })
	})
}

// homeMethod asks one home for each request.
type homeMethod struct {
	*bench
	buckets map[string]*idealBucket
}

func (m *homeMethod) request(vm int, u thconfig.Customer, done func(bool)) {
	from := m.f.nodes[vm]
	home, _ := from.layout.Home(thlimit.Part{Customer: u.Name})
	way := m.delay(from.vm, home)
	m.message(thlimit.Ask{Part: thlimit.Part{Customer: u.Name}, Number: uint64(m.requests), Need: 1})
	m.f.at(m.f.now+way, m.f.nodes[0], func() {
		b := m.buckets[u.Name]
		if b == nil {
			b = newIdeal(u)
			m.buckets[u.Name] = b
		}
		ok := b.take(m.f.now)
		m.message(thlimit.Grant{Status: thlimit.StatusGranted, Number: uint64(m.requests), Tokens: 1})
		m.f.at(m.f.now+way, m.f.nodes[0], func() { done(ok) })
	})
}

// grantMethod is package thlimit.
type grantMethod struct{ *bench }

func (m grantMethod) request(vm int, u thconfig.Customer, done func(bool)) {
	m.f.nodes[vm].admitThen(u.Name, &thlimit.Try{}, 0, done)
}
