package thhealth

import (
	"time"

	"tamarackhollow/core/thclock"
)

// Phase is where a target stands between work and ejection.
type Phase uint8

// The phases.
const (
	// Healthy targets get their share.
	Healthy Phase = iota
	// Ejected targets get nothing.
	Ejected
	// Trial targets get a trickle of requests that are safe to repeat.
	Trial
	// Warming targets get a growing share.
	Warming
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"healthy", "ejected", "trial", "warming"}[min(p, Warming)]
}

// State is a target's phase and what it depends on. The zero State is Healthy.
type State struct {
	Phase Phase
	// Since is when the latest ejection began.
	Since thclock.Instant
	// Until ends a hold or a warm-up.
	Until thclock.Instant
	// Strikes counts ejections that followed each other closely.
	Strikes int
	// Forgiven is when the strikes are forgotten.
	Forgiven thclock.Instant
	// Verdict is the latest that ejected the target.
	Verdict Verdict
}

const (
	maxStrikes    = 6
	warmUp        = 8 * time.Second
	forgivenAfter = 10 // holds
	trialsNeeded  = 3.0
	trialsBad     = 2.0
	coldAtFirst   = 0.9
)

// Cold is the state of a target that has just appeared: it gets a growing
// share of the work.
func Cold(now thclock.Instant) State {
	return State{Phase: Warming, Until: now.Add(warmUp)}
}

// InUse reports whether the target gets ordinary work.
func (s State) InUse() bool { return s.Phase == Healthy || s.Phase == Warming }

// JustEjected reports whether the target was ejected lately on more than this
// VM's own evidence.
func (s State) JustEjected(now thclock.Instant) bool {
	return s.Phase == Ejected && !s.Verdict.Local && now.Sub(s.Since) < voteAge
}

// ColdShare returns the share, 0 to 1, of its capacity that a target does not
// have yet.
func (s State) ColdShare(now thclock.Instant) float64 {
	if s.Phase != Warming {
		return 0
	}
	left := float64(s.Until.Sub(now)) / float64(warmUp)
	return coldAtFirst * min(max(left, 0), 1)
}

// Next returns the state at the present moment. The trial counts are what all
// VMs saw of the target in the last few seconds.
func (s State) Next(now thclock.Instant, p Policy, v Verdict, trial Counts) State {
	switch s.Phase {
	case Ejected:
		if now.SurelyPassed(s.Until) {
			s.Phase = Trial
		}
	case Trial:
		return s.afterTrial(now, p, trial)
	case Warming, Healthy:
		if v.Sick {
			return s.ejected(now, p, v)
		}
		if s.Phase == Warming && now.SurelyPassed(s.Until) {
			s.Phase = Healthy
		}
		if s.Strikes > 0 && now.SurelyPassed(s.Forgiven) {
			s.Strikes = 0
		}
	}
	return s
}

func (s State) afterTrial(now thclock.Instant, p Policy, trial Counts) State {
	switch {
	case trial.Bad() >= trialsBad*evidenceSlack && trial.Bad() > trial.Requests/2:
		return s.ejected(now, p, s.Verdict)
	case trial.Requests >= trialsNeeded*evidenceSlack && trial.Bad() < trial.Requests/4:
		s.Phase = Warming
		s.Until = now.Add(warmUp)
		s.Forgiven = s.Until.Add(forgivenAfter * s.hold(p))
	}
	return s
}

func (s State) ejected(now thclock.Instant, p Policy, v Verdict) State {
	n := State{Phase: Ejected, Since: now, Verdict: v, Strikes: min(s.Strikes+1, maxStrikes)}
	n.Until = now.Add(n.hold(p))
	return n
}

// hold doubles with each strike.
func (s State) hold(p Policy) time.Duration {
	return p.Hold << max(s.Strikes-1, 0)
}
