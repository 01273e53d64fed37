package thview_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// loadScenario is a load of a service, and what its VMs know of it.
type loadScenario struct {
	// share is the work that arrives, by way of the VMs or not, as a share of what the targets can
	// do.
	share float64
	// slowHalf makes every second target take twice as long, and slowWhenFull all targets half as
	// long again while three quarters of their slots are taken.
	slowHalf, slowWhenFull bool
	// foreignShare is the share of what every second target can do that others ask of it.
	foreignShare float64
	// delay is how long notices take between VMs, and hold how long a VM holds them back.
	delay, hold time.Duration
	lossPercent int
	// lostVMs stop at the beginning of what is measured, without a word.
	lostVMs int
	// reports is whether targets report their load.
	reports bool
	seed    uint64
}

// loadPlay plays a loadScenario.
type loadPlay struct {
	*largeFleet
	loadScenario
	targets  map[string]*loadTarget
	holding  []bool
	lost     int
	measured loadFigures
	// measuredFrom is when what is measured began.
	measuredFrom time.Duration
	took         []time.Duration
}

// loadTarget runs requests in its slots, in the order of their arrival.
type loadTarget struct {
	running int
	waiting []func()
	factor  float64
	// busy is the sum over time of the requests at the target since busyFrom.
	busy     time.Duration
	busyFrom time.Duration
	sent     int
}

// loadFigures are the outcome of a play.
type loadFigures struct {
	asked, inTime, rejected int
	// inTimeShare is that of all requests that callers sent to VMs that live, and p99 the time
	// that one in a hundred answers exceeds.
	inTimeShare float64
	p99         time.Duration
	// busiest is the mean number of requests at the busiest target, and sentMost the number that
	// the VMs sent to the one that got most, both as a multiple of the mean of all targets.
	busiest, sentMost float64
	noticeBytes       int
}

const (
	loadVMs, loadTargets = 30, 24
	loadSlots            = 6
	loadQueue            = 24
	loadMedian           = 200 * time.Millisecond
	loadObjective        = time.Second
	slowFactor           = 2
	fullFactor           = 1.5
	warmUp, measuredSpan = 4 * time.Second, 12 * time.Second
)

func newLoadPlay(tb testing.TB, c loadScenario) *loadPlay {
	tb.Helper()
	p := &loadPlay{largeFleet: newLargeFleet(tb, loadVMs, 3, loadTargets), loadScenario: c, targets: map[string]*loadTarget{}, holding: make([]bool, loadVMs)}
	p.rng = rand.New(rand.NewPCG(7, c.seed))
	p.largeFleet.lossPercent = c.lossPercent
	for i := range loadTargets {
		t := &loadTarget{factor: 1}
		if c.slowHalf && i%2 == 0 {
			t.factor = slowFactor
		}
		p.targets[fmt.Sprintf("t%d", i)] = t
	}
	return p
}

// perSecond returns the requests a second that the target can run.
func (p *loadPlay) perSecond(t *loadTarget) float64 {
	mean := loadMedian.Seconds() * math.Exp(latencySpread*latencySpread/2) * t.factor
	if p.slowWhenFull {
		mean *= fullFactor
	}
	return loadSlots / mean
}

// run plays the scenario.
func (p *loadPlay) run() loadFigures {
	capacity, foreign := 0.0, make([]float64, loadTargets)
	allForeign := 0.0
	for i := range loadTargets {
		rate := p.perSecond(p.targets[fmt.Sprintf("t%d", i)])
		capacity += rate
		if i%2 == 0 {
			foreign[i] = rate * p.foreignShare
			allForeign += foreign[i]
		}
	}
	own := p.share*capacity - allForeign
	for i, rate := range foreign {
		if rate > 0 {
			p.sendForeign(fmt.Sprintf("t%d", i), rate)
		}
	}
	end := p.now + warmUp + measuredSpan
	p.measuredFrom = end
	p.arrivals(own, end-measuredSpan)
	p.startMeasuring()
	p.arrivals(own, end)
	p.endMeasuring()
	p.passTime(15 * time.Second)
	slices.Sort(p.took)
	f := p.measured
	f.inTimeShare = float64(f.inTime) / float64(f.asked)
	f.p99 = p.took[len(p.took)*99/100]
	return f
}

// arrivals lets the time pass with requests of callers, and VMs that probe each other.
func (p *loadPlay) arrivals(perSecond float64, until time.Duration) {
	for p.now < until {
		before := p.now
		p.passTime(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)))
		if before/time.Second != p.now/time.Second {
			for i, v := range p.views[p.lost:] {
				probe, _ := v.Probe(p.instant())
				p.transmit(p.lost+i, v.Introduction(true), probe)
			}
		}
		p.send()
	}
}

func (p *loadPlay) startMeasuring() {
	p.measured, p.measuredFrom = loadFigures{}, p.now
	p.lost = p.lostVMs
	p.took = nil
	clear(p.sentBytes)
	for _, t := range p.targets {
		t.count(p.now)
		t.busy, t.sent = 0, 0
	}
}

func (p *loadPlay) endMeasuring() {
	var all, most time.Duration
	sent, sentMost := 0, 0
	for _, t := range p.targets {
		t.count(p.now)
		all, most = all+t.busy, max(most, t.busy)
		sent, sentMost = sent+t.sent, max(sentMost, t.sent)
	}
	p.measured.busiest = float64(most) * loadTargets / float64(all)
	p.measured.sentMost = float64(sentMost) * loadTargets / float64(sent)
	for _, b := range p.sentBytes {
		p.measured.noticeBytes += b
	}
}

// send sends a request of a caller through a random VM.
func (p *loadPlay) send() {
	vm := p.lost + p.rng.IntN(loadVMs-p.lost)
	v, m := p.views[vm], &p.measured
	m.asked++
	q := &thmessage.Request{
		Route: thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: loadObjective.Milliseconds()}, Arrived: p.instant(),
		Objective: p.instant().Add(loadObjective), Deadline: p.instant().Add(3 * loadObjective),
	}
	picked, refusal := v.Pick(p.instant(), q, "s", nil, false)
	if refusal != nil {
		m.rejected++
		return
	}
	p.notify(vm)
	sentAt := p.now
	t := p.targets[picked.Target.ID]
	t.sent++
	finish := func(o thhealth.Outcome) {
		if vm < p.lost {
			return
		}
		took := p.now - sentAt
		if sentAt >= p.measuredFrom && o == thhealth.Answered {
			p.took = append(p.took, took)
			if took <= loadObjective {
				m.inTime++
			}
		}
		v.Finish(p.instant(), picked, q, o, took)
		if p.reports {
			v.RecordLoad(p.instant(), picked, thpick.LoadReport{Running: t.running, Waiting: len(t.waiting), Slots: loadSlots})
		}
		p.notify(vm)
	}
	if len(t.waiting) >= loadQueue {
		m.rejected++
		p.after(time.Millisecond, func() { finish(thhealth.Rejected) })
		return
	}
	p.runAt(t, func() { finish(thhealth.Answered) })
}

// sendForeign sends requests to a target that do not go through the fleet.
func (p *loadPlay) sendForeign(target string, perSecond float64) {
	p.after(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if t := p.targets[target]; len(t.waiting) < loadQueue {
			p.runAt(t, func() {})
		}
		p.sendForeign(target, perSecond)
	})
}

// runAt runs a request at the target once a slot is free.
func (p *loadPlay) runAt(t *loadTarget, done func()) {
	start := func() {
		t.running++
		took := float64(loadMedian) * math.Exp(latencySpread*p.rng.NormFloat64()) * t.factor
		if p.slowWhenFull && t.running*4 >= 3*loadSlots {
			took *= fullFactor
		}
		p.after(time.Duration(took), func() {
			t.count(p.now)
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			done()
		})
	}
	t.count(p.now)
	if t.running < loadSlots {
		start()
		return
	}
	t.waiting = append(t.waiting, start)
}

// count adds the requests at the target until now.
func (t *loadTarget) count(now time.Duration) {
	t.busy += (now - t.busyFrom) * time.Duration(t.running+len(t.waiting))
	t.busyFrom = now
}

// notify sends what is pending at a VM, after the time for which it holds notices back.
func (p *loadPlay) notify(vm int) {
	if p.hold == 0 {
		p.transmitPending(vm)
		return
	}
	if p.holding[vm] {
		return
	}
	p.holding[vm] = true
	p.after(p.hold, func() {
		p.holding[vm] = false
		p.transmitPending(vm)
	})
}

func (p *loadPlay) transmitPending(vm int) {
	if vm < p.lost {
		return
	}
	v := p.views[vm]
	for _, o := range v.TakeNotices(p.instant()) {
		direct, relays := v.Fleet.SelectRecipients(o.Members, o.Notice.Sequence, o.Urgent)
		p.after(p.delay, func() {
			p.transmit(vm, o.Notice, direct)
			o.Notice.Relay = true
			p.transmit(vm, o.Notice, relays)
		})
	}
}

// BenchmarkTargetLoad plays services near their capacity with targets that report their load, and
// with targets that do not.
func BenchmarkTargetLoad(b *testing.B) {
	type named struct {
		name string
		loadScenario
	}
	var all []named
	for _, share := range []float64{0.5, 0.8, 0.95, 1.1} {
		all = append(all,
			named{fmt.Sprintf("even/%g", share), loadScenario{share: share}},
			named{fmt.Sprintf("slowHalf/%g", share), loadScenario{share: share, slowHalf: true}},
			named{fmt.Sprintf("slowWhenFull/%g", share), loadScenario{share: share, slowWhenFull: true}},
			named{fmt.Sprintf("foreign/%g", share), loadScenario{share: share, foreignShare: 0.6}},
			named{fmt.Sprintf("lossOfNotices/%g", share), loadScenario{share: share, lossPercent: 20}},
			named{fmt.Sprintf("lostVMs/%g", share), loadScenario{share: share, lostVMs: 8}},
		)
	}
	for _, share := range []float64{0.8, 0.95} {
		for _, age := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
			all = append(all,
				named{fmt.Sprintf("delay/%v/%g", age, share), loadScenario{share: share, delay: age}},
				named{fmt.Sprintf("hold/%v/%g", age, share), loadScenario{share: share, hold: age}},
				named{fmt.Sprintf("foreignHold/%v/%g", age, share), loadScenario{share: share, hold: age, foreignShare: 0.6}},
			)
		}
	}
	for _, c := range all {
		for _, reports := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/reports=%v", c.name, reports), func(b *testing.B) {
				const seeds = 3
				var sum loadFigures
				for range b.N {
					for seed := range uint64(seeds) {
						c := c.loadScenario
						c.reports, c.seed = reports, seed
						f := newLoadPlay(b, c).run()
						sum.inTimeShare += f.inTimeShare
						sum.p99 += f.p99
						sum.busiest += f.busiest
						sum.sentMost += f.sentMost
						sum.noticeBytes += f.noticeBytes
					}
				}
				n := float64(b.N * seeds)
				b.ReportMetric(sum.inTimeShare/n, "inTime")
				b.ReportMetric(sum.p99.Seconds()/n, "p99_s")
				b.ReportMetric(sum.busiest/n, "busiest/mean")
				b.ReportMetric(sum.sentMost/n, "sentMost/mean")
				b.ReportMetric(float64(sum.noticeBytes)/n/measuredSpan.Seconds()/loadVMs, "noticeB/s/VM")
			})
		}
	}
}

// TestReportsReplaceOldKnowledge plays VMs whose notices wait for a second, for example because their
// rate is used up. It guards against VMs that send by counts that are long out of date.
func TestReportsReplaceOldKnowledge(t *testing.T) {
	c := loadScenario{share: 0.95, hold: time.Second}
	before := newLoadPlay(t, c).run()
	c.reports = true
	after := newLoadPlay(t, c).run()
	t.Logf("without reports %+v, with %+v", before, after)
	assert.Assert(t, after.inTimeShare > before.inTimeShare+0.05)
}

// TestReportsShowForeignLoad plays a service of which every second target is used by others as well.
// It guards against VMs that send as much to these as to the others.
func TestReportsShowForeignLoad(t *testing.T) {
	c := loadScenario{share: 0.8, foreignShare: 0.6}
	before := newLoadPlay(t, c).run()
	c.reports = true
	after := newLoadPlay(t, c).run()
	t.Logf("without reports %+v, with %+v", before, after)
	assert.Assert(t, after.busiest < before.busiest-0.1)
}

// TestReportTravelsWithNoticeOfItsAttempt guards against datagrams that are sent for reports alone,
// against reports in the notices of a calm fleet, and against VMs that do not hear of foreign load,
// of its end, or that trust a report after its time.
func TestReportTravelsWithNoticeOfItsAttempt(t *testing.T) {
	f := newFleet(2, 1)
	f.introduceAll()
	const ms = time.Millisecond
	for _, step := range []struct {
		name           string
		pass, wait     time.Duration
		reported       thpick.LoadReport
		isShared       bool
		expectedByPeer int
	}{
		{"nothing reported", 0, 0, thpick.LoadReport{}, false, 0},
		{"as counted", 0, 0, thpick.LoadReport{Slots: slots}, false, 0},
		{"two more", 0, 0, thpick.LoadReport{Running: 2, Slots: slots}, false, 0},
		{"foreign load", 0, 0, thpick.LoadReport{Running: 2, Waiting: 4, Slots: slots}, true, 6},
		{"foreign load as known", 0, 0, thpick.LoadReport{Running: 2, Waiting: 4, Slots: slots}, false, 6},
		{"foreign load that has faded", 1000 * ms, 0, thpick.LoadReport{Running: 2, Waiting: 4, Slots: slots}, true, 6},
		{"foreign load has ended", 0, 0, thpick.LoadReport{Slots: slots}, true, 0},
		{"notice is held back", 0, 100 * ms, thpick.LoadReport{Running: 2, Waiting: 4, Slots: slots}, true, 5},
		{"notice is held back for long", 10_000 * ms, 300 * ms, thpick.LoadReport{Running: 2, Waiting: 9, Slots: slots}, false, 0},
	} {
		f.now += step.pass
		q := &thmessage.Request{Objective: f.instant().Add(time.Second), Deadline: f.instant().Add(time.Hour)}
		p, refusal := f.views[0].Pick(f.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil, step.name)
		f.broadcast(0)
		f.views[0].Finish(f.instant(), p, q, thhealth.Answered, time.Millisecond)
		f.views[0].RecordLoad(f.instant(), p, step.reported)
		_, urgent := f.views[0].Pending()
		assert.Assert(t, !urgent, step.name)
		f.now += step.wait
		outgoing := f.views[0].TakeNotices(f.instant())
		assert.Equal(t, len(outgoing), 1, step.name)
		assert.Equal(t, len(outgoing[0].Notice.ReportedLoads) == 1, step.isShared, step.name)
		f.views[1].Receive(f.instant(), outgoing[0].Notice)
		status := f.views[1].TargetStatuses(f.instant())[0]
		assert.Equal(t, status.Expected, step.expectedByPeer, step.name)
		assert.Equal(t, status.InFlight, 0, step.name)
	}
}

// TestRequestsOfOwnAreNeverReportedAway guards against targets that say that they have nothing to do
// and are sent everything.
func TestRequestsOfOwnAreNeverReportedAway(t *testing.T) {
	f := newFleet(1, 1)
	q := &thmessage.Request{Objective: f.instant().Add(time.Second), Deadline: f.instant().Add(time.Hour)}
	var picked []thview.Picked
	for range 6 {
		p, refusal := f.views[0].Pick(f.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		picked = append(picked, p)
	}
	f.views[0].Finish(f.instant(), picked[0], q, thhealth.Answered, time.Millisecond)
	f.views[0].RecordLoad(f.instant(), picked[0], thpick.LoadReport{Slots: slots})
	assert.Equal(t, f.views[0].TargetStatuses(f.instant())[0].Expected, 5)
}
