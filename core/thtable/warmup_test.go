package thtable_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// warmupAt returns a time of the simulation.
func warmupAt(elapsed time.Duration) thclock.Instant { return thclock.At(time.Hour + elapsed) }

// TestWarmupIsPassedOnOnce reads a target's row twice a second, which the target writes every 1.5 s.
// It guards against a list that changes at each read while a target warms up, against a target that
// becomes cold again without a change, and against VMs that differ in the time that is left: a VM
// that starts is told what is left at that moment.
func TestWarmupIsPassedOnOnce(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		coldUntil, coldAgain := 20*time.Second, 20*time.Second+time.Duration(rng.IntN(6000))*time.Millisecond
		var known thtable.KnownTargets
		var set thtable.TargetSet
		var changedAt []time.Duration
		var warmup, writtenAt time.Duration
		for now := time.Duration(0); now < time.Minute; now += 500 * time.Millisecond {
			if now >= writtenAt+1500*time.Millisecond || now == 0 {
				writtenAt = now - time.Duration(rng.IntN(500))*time.Millisecond
				if writtenAt >= coldAgain {
					coldUntil = coldAgain + 20*time.Second
				}
				warmup = max(0, coldUntil-writtenAt)
			}
			// The client takes off the time since it first read the row.
			target := thtable.Target{ID: "a", StartMillis: 1, WarmupMillis: max(0, warmup-(now-max(0, writtenAt)).Truncate(500*time.Millisecond)).Milliseconds()}
			list := thtable.TargetList{Position: thtable.Position{Version: uint64(now) + 1}, Targets: known.WithKnownWarmups(warmupAt(now), []thtable.Target{target})}
			if thtable.EqualTargets(set.List().Targets, list.Targets) {
				continue
			}
			changedAt = append(changedAt, now)
			set = thtable.NewTargetSet(list)
			known, _ = known.WithList(warmupAt(now), list, warmupAt(0))
		}
		assert.Equal(t, len(changedAt), 2, "seed %d: changes at %v", seed, changedAt)
		assert.Assert(t, changedAt[1] >= coldAgain && changedAt[1] < coldAgain+2*time.Second, "seed %d: %v", seed, changedAt)

		told := known.WithWarmupAges(warmupAt(coldUntil-5*time.Second), set.List().Targets)
		left := told[0].WarmUntil(warmupAt(0)).Sub(warmupAt(0))
		assert.Assert(t, left > 4*time.Second && left < 7*time.Second, "seed %d: %v are left of 5 s", seed, left)
		assert.Equal(t, thtable.NewTargetSet(thtable.TargetList{Targets: told}).Digest(), set.Digest())
	}
}

// TestWarmupOfTargetThatWasAwayIsReportedAnew guards against a target that is listed again and is
// taken for as old as its last report.
func TestWarmupOfTargetThatWasAwayIsReportedAnew(t *testing.T) {
	list := thtable.TargetList{Position: thtable.Position{Version: 1}, Targets: []thtable.Target{{ID: "a", StartMillis: 1, WarmupMillis: 20_000}}}
	known, _ := thtable.KnownTargets{}.WithList(warmupAt(0), list, warmupAt(0))
	known, _ = known.WithList(warmupAt(time.Second), thtable.TargetList{Position: thtable.Position{Version: 2}}, warmupAt(0))
	list.Version, list.Targets[0].WarmupMillis = 3, 19_000
	list.Targets = known.WithKnownWarmups(warmupAt(time.Second), list.Targets)
	assert.Equal(t, list.Targets[0].WarmupMillis, int64(19_000))
	list.Targets[0].WarmupMillis = 20_000
	known, _ = known.WithList(warmupAt(5*time.Second), list, warmupAt(0))
	assert.Equal(t, known.WithWarmupAges(warmupAt(6*time.Second), list.Targets)[0].WarmupAgeMillis, int64(1000))
}

// TestWarmupReports guards against a report that is taken for the one before although it says
// something else, such as after a restart or the end of a warm-up, and against one that extends the
// warm-up although it is the same.
func TestWarmupReports(t *testing.T) {
	list := thtable.TargetList{Position: thtable.Position{Version: 1}, Targets: []thtable.Target{{ID: "a", StartMillis: 1, WarmupMillis: 20_000}}}
	known, _ := thtable.KnownTargets{}.WithList(warmupAt(0), list, warmupAt(0))
	list.Version, list.Targets = 2, append(list.Targets, thtable.Target{ID: "b"}) // the report of a is as old as before
	known, _ = known.WithList(warmupAt(5*time.Second), list, warmupAt(0))
	for _, c := range []struct {
		name           string
		at             time.Duration
		start, left    int64
		passedOnMillis int64
	}{
		{"the same", 10 * time.Second, 1, 10_000, 20_000},
		{"a little later", 10 * time.Second, 1, 12_000, 20_000},
		{"later", 10 * time.Second, 1, 12_001, 12_001},
		{"a little earlier", 10 * time.Second, 1, 8_000, 20_000},
		{"earlier", 10 * time.Second, 1, 7_999, 7_999},
		{"warm already", 10 * time.Second, 1, 0, 0},
		{"warm a little early", 18 * time.Second, 1, 0, 20_000},
		{"warm", 30 * time.Second, 1, 0, 20_000},
		{"cold again for as long", 30 * time.Second, 1, 20_000, 20_001},
		{"another process", 10 * time.Second, 2, 10_000, 10_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := known.WithKnownWarmups(warmupAt(c.at), []thtable.Target{{ID: "a", StartMillis: c.start, WarmupMillis: c.left}})
			assert.Equal(t, got[0].WarmupMillis, c.passedOnMillis)
		})
	}
}
