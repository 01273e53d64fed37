package thclaim

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// Verdict is what a row means for a request. It is one of Free, Own, Answered
// and Refused.
type Verdict interface{ verdict() }

// Free says that the claim may be written over the row at its version.
type Free struct{ Version uint64 }

// Own says that the row is the asker's own claim, written at the version.
type Own struct{ Version uint64 }

// Answered says that the request has run and what its answer was.
type Answered struct{ Answer Answer }

// Refused says that the request is not to be sent, and why.
type Refused struct{ Err error }

func (Free) verdict()     {}
func (Own) verdict()      {}
func (Answered) verdict() {}
func (Refused) verdict()  {}

// Judge says what the row found means for the request that wants to be
// claimed. Only Own allows it to be sent.
func Judge(want, found Claim, version uint64, now thclock.Instant) Verdict {
	switch {
	case version == 0:
		return Free{}
	case found.Token == want.Token && found.State == Claimed:
		return Own{version}
	case found.State == Released:
		return Free{version}
	case found.Digest != want.Digest:
		return Refused{therror.New(therror.ClaimMismatch, "the idempotency key belongs to another request")}
	}
	switch found.State {
	case Done:
		return judgeDone(found)
	case Claimed:
		if now.Wall < found.SendUntil {
			return Refused{therror.New(therror.ClaimRunning, "the request is running, sent through VM %s", found.Owner)}
		}
	}
	return Refused{therror.New(therror.ClaimOutcomeLost, "the request may have run, sent through VM %s", found.Owner)}
}

func judgeDone(found Claim) Verdict {
	if found.Answer == nil || found.Answer.Dropped {
		return Refused{therror.New(therror.ClaimOutcomeLost, "the request has run, but its answer was too large to be kept")}
	}
	return Answered{*found.Answer}
}

// Outcome returns the state that a claim goes to after its request has ended.
// Released is only returned if nothing was sent.
func Outcome(err error) State {
	switch {
	case err == nil:
		return Done
	case therror.KindOf(err).Answer().Outcome == therror.NotRun:
		return Released
	}
	return Lost
}
