package thview_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// pickRandomly picks for a random request, by a random one of the ways in which a View picks.
func pickRandomly(f *fleet, rng *rand.Rand) (thview.Picked, *thview.Refusal) {
	q := leavingRequest(f, []thtable.Safety{thtable.Idempotent, thtable.AtMostOnce}[rng.IntN(2)])
	tried := [][]string{nil, nil, nil, {"t1"}, {"t1", "t2"}}[rng.IntN(5)]
	if rng.IntN(3) > 0 {
		return f.views[0].Pick(f.instant(), q, "s", tried, false)
	}
	p, ok := f.views[0].PickHedge(f.instant(), q, "s", tried, false)
	if !ok {
		return p, &thview.Refusal{}
	}
	return p, nil
}

// TestPausedTargetIsPickedInNoWay guards against a way to a target that has asked for a
// pause: a pick, a retry, a hedged attempt, one that keeps the floor, or the last target left.
// It also guards against a pause that a shorter one ends, or that goes on.
func TestPausedTargetIsPickedInNoWay(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 6))
		f := newFleet(1, 3)
		v := f.views[0]
		pausedUntil := map[string]time.Duration{}
		picks := map[string]int{}
		for range 600 {
			f.now += time.Duration(rng.IntN(100)) * time.Millisecond
			p, refusal := pickRandomly(f, rng)
			if refusal != nil {
				continue
			}
			id := p.Target.ID
			picks[id]++
			assert.Assert(t, f.now >= pausedUntil[id], "seed %d: %s is picked %v before its pause ends", seed, id, pausedUntil[id]-f.now)
			outcome := []thhealth.Outcome{thhealth.Failed, thhealth.Failed, thhealth.Answered, thhealth.Rejected}[rng.IntN(4)]
			v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), outcome, time.Millisecond)
			if outcome == thhealth.Rejected {
				for range 2 { // a later answer may ask for less
					pause := time.Duration(rng.IntN(4000)) * time.Millisecond
					v.Pause(f.instant(), p, f.instant().Add(pause))
					pausedUntil[id] = max(pausedUntil[id], f.now+pause)
				}
			}
		}
		assert.Equal(t, len(picks), 3, "seed %d: targets remain paused", seed)
	}
}

// pauseAll pauses all targets of the fleet's first VM for the given times.
func pauseAll(t *testing.T, f *fleet, pauses map[string]time.Duration) {
	t.Helper()
	picked := map[string]thview.Picked{}
	for id := range pauses {
		picked[id] = f.pickTarget(t, 0, id)
		f.views[0].Finish(f.instant(), picked[id], leavingRequest(f, thtable.Idempotent), thhealth.Rejected, time.Millisecond)
	}
	for id, pause := range pauses {
		assert.Assert(t, f.views[0].Pause(f.instant(), picked[id], f.instant().Add(pause)))
		assert.Assert(t, !f.views[0].Pause(f.instant(), picked[id], f.instant().Add(pause)))
	}
}

// TestRequestIsRefusedAtOnceWhileAllTargetsArePaused guards against requests that are sent
// to a paused target for want of another, and against callers that are told to return before
// a target can be used.
func TestRequestIsRefusedAtOnceWhileAllTargetsArePaused(t *testing.T) {
	f := newFleet(1, 3)
	pauseAll(t, f, map[string]time.Duration{"t0": 8 * time.Second, "t1": 3 * time.Second, "t2": 24 * time.Hour})
	f.now += time.Second
	q := leavingRequest(f, thtable.AtMostOnce)
	_, refusal := f.views[0].Pick(f.instant(), q, "s", nil, false)
	assert.Assert(t, refusal != nil && refusal.Paused)
	assert.Assert(t, refusal.RetryAfter >= 2*time.Second && refusal.RetryAfter < 3*time.Second, "%v", refusal.RetryAfter)
	f.now += 3 * time.Second
	assert.Equal(t, f.views[0].RetryAfterPause(f.instant(), "s"), time.Duration(0))
	_, refusal = f.views[0].Pick(f.instant(), q, "s", []string{"t1"}, false)
	assert.Assert(t, refusal != nil && !refusal.Paused, "a caller that sends the request again may be sent to t1")
	p, refusal := f.views[0].Pick(f.instant(), q, "s", nil, false)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, p.Target.ID, "t1")
}

// TestPauseEndsWithProcessOfTarget guards against a pause that outlives the process that
// asked for it, and against the pause of a process that an attempt began at its predecessor
// asks for.
func TestPauseEndsWithProcessOfTarget(t *testing.T) {
	f := newFleet(1, 3)
	v := f.views[0]
	v.SetTargets(f.instant(), targetsWithStart(1))
	p := f.pickTarget(t, 0, "t0")
	assert.Assert(t, v.Pause(f.instant(), p, f.instant().Add(time.Hour)))
	v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), thhealth.Rejected, time.Millisecond)
	f.now += 100 * time.Millisecond
	v.SetTargets(f.instant(), targetsWithStart(2))
	assert.Assert(t, !v.Pause(f.instant(), p, f.instant().Add(time.Hour)))
	f.pickTarget(t, 0, "t0")
}

// TestVMsReturnFromPauseOneAfterTheOther guards against VMs that were turned away together
// and all return at once.
func TestVMsReturnFromPauseOneAfterTheOther(t *testing.T) {
	const vms, pause = 20, 4 * time.Second
	f := newFleet(vms, 1)
	returned := map[time.Duration]int{}
	for vm, v := range f.views {
		p, refusal := v.Pick(f.instant(), leavingRequest(f, thtable.Idempotent), "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), thhealth.Rejected, time.Millisecond)
		assert.Assert(t, v.Pause(f.instant(), p, f.instant().Add(pause)))
		until := v.TargetStatuses(f.instant())[0].PausedUntil.Sub(f.instant())
		assert.Assert(t, until >= pause && until <= pause+pause/10, "VM %d: %v", vm, until)
		returned[until.Truncate(100*time.Millisecond)]++
	}
	for at, count := range returned {
		assert.Assert(t, count <= vms/2, "%d VMs return %v after", count, at)
	}
}

// TestUnreadablePauseIsNewOnceForEachProcess guards against a log line for each answer of a
// target that asks for pauses in a wrong format, and against none for its next process.
func TestUnreadablePauseIsNewOnceForEachProcess(t *testing.T) {
	f := newFleet(1, 3)
	v := f.views[0]
	for start := range int64(2) {
		v.SetTargets(f.instant(), targetsWithStart(start))
		for i := range 3 {
			f.now += 10 * time.Millisecond
			p := f.pickTarget(t, 0, "t0")
			v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), thhealth.Answered, time.Millisecond)
			assert.Equal(t, v.IgnorePause(p), i == 0)
		}
	}
}

// TestPauseOfZeroInstantIsNone guards against attempts without a pause that end one.
func TestPauseOfZeroInstantIsNone(t *testing.T) {
	f := newFleet(1, 1)
	v := f.views[0]
	p := f.pickTarget(t, 0, "t0")
	assert.Assert(t, !v.Pause(f.instant(), p, thclock.Instant{}))
	assert.Assert(t, !v.TargetStatuses(f.instant())[0].IsPaused)
}
