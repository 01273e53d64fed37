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
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// coldSpan is how long a target is cold after its start.
const coldSpan = 20 * time.Second

// coldSolo is a view that has joined a fleet of one VM and knows the targets of zonedTargets.
type coldSolo struct {
	*fleet
	view    *thview.View
	targets []thtable.Target
	// changes counts the calls of OnColdChange by target.
	changes map[string]int
}

func newColdSolo(zones, perZone int, rate float64) *coldSolo {
	s := &coldSolo{fleet: newFleet(0, 0), targets: zonedTargets(zones, perZone), changes: map[string]int{}}
	s.view = thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm-0", Zone: "zone-0", Address: "10.0.0.1:1"}, StartMillis: 1, FloorShare: 0.7,
		Rand: rand.New(rand.NewPCG(1, 1)), OnColdChange: func(t thview.TargetStatus) { s.changes[t.ID]++ },
	})
	s.views = []*thview.View{s.view}
	s.view.MarkJoined(s.instant())
	s.view.SetTable(thtable.New(thtable.Document{Version: 1, Services: []thtable.Service{{Name: "s", ColdRate: rate, ColdMillis: coldSpan.Milliseconds()}}}))
	s.view.SetTargets(s.instant(), s.targets)
	return s
}

// report replaces the report of the targets of a zone.
func (s *coldSolo) report(zone string, warmupMillis int64) {
	s.targets = slices.Clone(s.targets)
	for i := range s.targets {
		if s.targets[i].Zone == zone {
			s.targets[i].WarmupMillis = warmupMillis
		}
	}
	s.view.SetTargets(s.instant(), s.targets)
}

// play sends requests for a while and returns how many went to each zone; others were refused.
func (s *coldSolo) play(span time.Duration) map[string]int {
	sent := map[string]int{}
	for until := s.now + span; s.now < until; s.now += 20 * time.Millisecond {
		q := leavingRequest(s.fleet, thtable.AtMostOnce)
		if p, refusal := s.view.Pick(s.instant(), q, "s", nil, false); refusal == nil {
			sent[p.Target.Zone]++
			s.view.Finish(s.instant(), p, q, thhealth.Answered, time.Millisecond)
		}
	}
	return sent
}

func (s *coldSolo) isCold(id string) bool {
	for _, t := range s.view.TargetStatuses(s.instant()) {
		if t.ID == id {
			return t.State() == thview.StateCold
		}
	}
	return false
}

// TestColdZoneIsReplacedByOtherZones guards against VMs that keep a window of targets which they may
// hardly use while all targets of their zone are cold, against a target that stays throttled when it
// is warm, and against a bound that applies where none is configured.
func TestColdZoneIsReplacedByOtherZones(t *testing.T) {
	s := newColdSolo(2, 24, coldRate)
	assert.Equal(t, s.play(5 * time.Second)["zone-1"], 0)
	s.report("zone-0", coldSpan.Milliseconds())
	assert.DeepEqual(t, usedByZone(s.view, s.targets), map[string]int{"zone-0": 24, "zone-1": 16}) // as owner, and by the ring
	sent := s.play(coldSpan - 100*time.Millisecond)
	bound := coldRate / 3 * coldSpan.Seconds() * 24 // this VM owns a part of each target
	assert.Assert(t, sent["zone-1"] > 100 && float64(sent["zone-0"]) <= bound, "%v", sent)
	assert.Assert(t, s.isCold("t0") && !s.isCold("t1"))
	s.play(time.Second)
	s.view.Probe(s.instant())
	assert.Equal(t, s.play(5 * time.Second)["zone-1"], 0)
	for id, n := range s.changes {
		assert.Equal(t, n, 2, id)
	}
	assert.Equal(t, len(s.changes), 24)

	s = newColdSolo(1, 2, 0)
	s.report("zone-0", coldSpan.Milliseconds())
	assert.Equal(t, s.play(5 * time.Second)["zone-0"], 250)
	assert.Equal(t, len(s.changes), 0)
}

// TestReportOfColdTarget guards against reports that do not replace those before: of a list, of an
// answer, of the same target or of another process; and against a list without a new report that
// extends the time.
func TestReportOfColdTarget(t *testing.T) {
	s := newColdSolo(1, 1, coldRate)
	p, refusal := s.view.Pick(s.instant(), leavingRequest(s.fleet, thtable.AtMostOnce), "s", nil, false)
	assert.Assert(t, refusal == nil)
	for _, c := range []struct {
		name   string
		do     func()
		isCold bool
	}{
		{"an answer says cold", func() { s.view.MarkCold(s.instant(), p, s.instant().Add(time.Minute)) }, true},
		{"the same list", func() { s.report("zone-0", 0) }, true},
		{"an answer says warm", func() { s.view.MarkCold(s.instant(), p, s.instant()) }, false},
		{"the list says cold", func() { s.report("zone-0", 10_000) }, true},
		{"after 9 s, the same list", func() { s.now += 9 * time.Second; s.report("zone-0", 10_000) }, true},
		{"after 10 s", func() { s.now += time.Second; s.view.Probe(s.instant()) }, false},
		{"the list says cold again", func() { s.report("zone-0", 10_001) }, true},
		{"the list says warm", func() { s.report("zone-0", 0) }, false},
		{"it was reported a while ago", func() {
			s.targets[0].WarmupAgeMillis = 9_000
			s.report("zone-0", 10_000)
			s.now += time.Second
			s.view.Probe(s.instant())
		}, false},
		{"another process", func() {
			s.targets[0].StartMillis, s.targets[0].WarmupAgeMillis = 7, 0
			s.report("zone-0", 10_000)
		}, true},
		{"an answer of the process before", func() { s.view.MarkCold(s.instant(), p, s.instant()) }, true},
	} {
		c.do()
		assert.Equal(t, s.isCold("t0"), c.isCold, c.name)
	}
}

// TestReleasedZoneIsColdUntilHeardFrom guards against a second wave of failures when an evacuated zone
// is released, whose targets have become cold meanwhile.
func TestReleasedZoneIsColdUntilHeardFrom(t *testing.T) {
	s := newColdSolo(2, 8, coldRate)
	s.view.SetEvacuated(s.instant(), []string{"zone-0"})
	assert.Equal(t, s.play(time.Second)["zone-0"], 0)
	s.view.SetEvacuated(s.instant(), nil)
	assert.Assert(t, s.isCold("t0") && !s.isCold("t1"))
	s.play(coldSpan / 2)
	assert.Assert(t, s.isCold("t0"))
	s.report("zone-0", 1) // warm
	s.now += time.Second
	s.view.Probe(s.instant())
	assert.Assert(t, !s.isCold("t0"))
	s.view.SetEvacuated(s.instant(), []string{"zone-0"})
	s.view.SetEvacuated(s.instant(), nil)
	s.play(coldSpan + 100*time.Millisecond)
	assert.Assert(t, !s.isCold("t0"))
}

// TestRefusalTellsWhenColdTargetMayBeUsed guards against requests that wait for cold targets, and
// callers that return too early or much too late.
func TestRefusalTellsWhenColdTargetMayBeUsed(t *testing.T) {
	partRate := coldRate / 3
	interval := time.Duration(float64(time.Second) / partRate)
	for _, c := range []struct {
		name       string
		prepare    func(s *coldSolo)
		retryAfter time.Duration
	}{
		{"the first token", func(*coldSolo) {}, interval},
		{"the rest of a token", func(s *coldSolo) { s.now += interval / 2 }, interval - interval/2},
		{"the first warm target", func(s *coldSolo) { s.report("zone-0", 100) }, 100 * time.Millisecond},
		{"the next token", func(s *coldSolo) {
			s.now += time.Minute
			s.play(20 * time.Millisecond)
			s.now -= 20 * time.Millisecond
		}, interval},
		{"cold again", func(s *coldSolo) {
			s.now += time.Minute
			s.report("zone-0", 0)
			s.now += time.Second
			s.report("zone-0", time.Hour.Milliseconds())
		}, interval},
		{"other VMs have tokens", func(s *coldSolo) {
			for i := range 200 {
				id := thfleet.Identity{ID: fmt.Sprintf("vm-%d", i+1), Zone: "zone-0", Address: "10.0.0.2:1"}
				s.view.Receive(s.instant(), thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: &id})
			}
		}, interval},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newColdSolo(1, 1, coldRate)
			s.report("zone-0", time.Hour.Milliseconds())
			s.view.Probe(s.instant())
			c.prepare(s)
			_, refusal := s.view.Pick(s.instant(), leavingRequest(s.fleet, thtable.AtMostOnce), "s", nil, false)
			assert.Assert(t, refusal != nil && refusal.Cold && !refusal.Paused)
			assert.Assert(t, refusal.RetryAfter >= c.retryAfter-time.Microsecond && refusal.RetryAfter <= c.retryAfter*11/10, "%v, want %v", refusal.RetryAfter, c.retryAfter)
		})
	}
}

// TestColdOwnersAreLiveVMsOfTheZone guards against a bound that is divided among VMs that do not live,
// against VMs that disagree on the owners, and against owners that all change if one is lost.
func TestColdOwnersAreLiveVMsOfTheZone(t *testing.T) {
	var live []thfleet.Member
	for i := range 40 {
		live = append(live, thfleet.Member{Key: thfleet.VMKeyOf(fmt.Sprintf("vm-%d", i)), Zone: fmt.Sprintf("zone-%d", i%4)})
	}
	counts := map[thfleet.VMKey]int{}
	for i := range 400 {
		key := thfleet.KeyOf(fmt.Sprintf("t%d", i))
		owners := thview.ColdOwners(live, key, "zone-1")
		assert.Equal(t, len(owners), 3)
		for _, o := range owners {
			assert.Equal(t, o.Zone, "zone-1")
			counts[o.Key]++
		}
		reversed := slices.Clone(live)
		slices.Reverse(reversed)
		assert.DeepEqual(t, keysOf(thview.ColdOwners(reversed, key, "zone-1")), keysOf(owners))
		without := slices.DeleteFunc(slices.Clone(live), func(m thfleet.Member) bool { return m.Key == owners[1].Key })
		after := keysOf(thview.ColdOwners(without, key, "zone-1"))
		assert.Assert(t, after[0] == owners[0].Key && after[1] == owners[2].Key)
	}
	for key, n := range counts {
		assert.Assert(t, n > 60 && n < 180, "VM %d owns %d of 1200 parts, 120 would be even", key, n)
	}
	assert.Equal(t, len(thview.ColdOwners(live, 1, "zone-9")), 3)
	assert.Equal(t, len(thview.ColdOwners(live[:2], 1, "zone-9")), 2)
	assert.Equal(t, len(thview.ColdOwners(live[:2], 1, "zone-1")), 1)
}

func keysOf(members []thfleet.Member) (keys []thfleet.VMKey) {
	for _, m := range members {
		keys = append(keys, m.Key)
	}
	return keys
}

// TestColdTargetsGetNothingFromVMWithoutFleet guards against a VM that sends requests to cold targets
// although others may own them: before it has joined, while it hears none of its peers, and once it
// takes all of them for lost.
func TestColdTargetsGetNothingFromVMWithoutFleet(t *testing.T) {
	s := newColdSolo(1, 4, coldRate)
	s.report("zone-0", time.Hour.Milliseconds())
	assert.Assert(t, s.play(5 * time.Second)["zone-0"] > 15)
	id := thfleet.Identity{ID: "vm-1", Zone: "zone-0", Address: "10.0.0.2:1"}
	s.view.Receive(s.instant(), thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: &id})
	s.play(1200 * time.Millisecond) // until it takes itself for isolated
	assert.Equal(t, s.play(2 * time.Second)["zone-0"], 0)
	for range 10 {
		s.view.Probe(s.instant())
		s.now += time.Second
	}
	assert.Equal(t, len(s.view.Fleet.Live()), 1)
	assert.Equal(t, s.play(30 * time.Second)["zone-0"], 0)

	unjoined := newFleet(1, 4)
	v := unjoined.views[0]
	v.SetTable(thtable.New(thtable.Document{Version: 1, Services: []thtable.Service{{Name: "s", ColdRate: coldRate}}}))
	targets := zonedTargets(1, 4)
	for i := range targets {
		targets[i].WarmupMillis = time.Hour.Milliseconds()
	}
	v.SetTargets(unjoined.instant(), targets)
	for range 20 { // beyond the time after which it does without the others
		unjoined.now += time.Second
		_, refusal := v.Pick(unjoined.instant(), leavingRequest(unjoined, thtable.AtMostOnce), "s", nil, false)
		assert.Assert(t, refusal != nil && refusal.Cold)
	}
	assert.Assert(t, v.IsJoined(thclock.At(2*time.Hour)))
}
