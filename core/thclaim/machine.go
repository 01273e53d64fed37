package thclaim

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/thstore"
)

const (
	// claimWait bounds the time spent on getting a claim written.
	claimWait = 2 * time.Second
	// claimShare is the part of the request's time that claiming may take.
	claimShare = 2
)

// Action is what the owner of a Machine has to do next. It is one of Write,
// Read, Send, Reply and Refuse.
type Action interface{ action() }

// Write asks for the row to be written on the condition that it stands at the
// version. The outcome goes to Machine.Wrote.
type Write struct {
	Version uint64
	Claim   Claim
	// Until is when the write is of no use any more if it has not begun.
	Until thclock.Instant
}

// Read asks for the row to be read; what was found goes to Machine.Found. The
// owner pauses before it if Pause is set, as the store has just failed.
type Read struct{ Pause bool }

// Send allows the request to be sent, once, until the deadline has passed by
// either clock. How it ended goes to Held.Ended.
type Send struct {
	Until thclock.Instant
	Held  Held
}

// Reply gives the caller the recorded answer.
type Reply struct{ Answer Answer }

// Refuse gives the caller the error; nothing was sent. If Undo is not nil, a
// claim may stand that nobody will use, and is to be released.
type Refuse struct {
	Err  error
	Undo *Held
}

func (Write) action()  {}
func (Read) action()   {}
func (Send) action()   {}
func (Reply) action()  {}
func (Refuse) action() {}

// Machine is one try to claim a request. It is immutable; each method returns
// the next one and what to do.
type Machine struct {
	key      string
	claim    Claim
	deadline thclock.Instant
	// until is when claiming is given up.
	until    thclock.Instant
	version  uint64
	doubtful bool
}

// Begin starts to claim the request for the owner. The token has to be unique.
func Begin(q *threquest.Request, owner, token string, now thclock.Instant) (Machine, Action) {
	m := Machine{
		key: Key(q.Customer.Name, q.IdempotencyKey),
		claim: Claim{
			Digest:    Digest(q),
			Token:     token,
			Owner:     owner,
			State:     Claimed,
			SendUntil: q.Deadline.Wall,
			Expires:   q.Deadline.Wall + Retention,
		},
		deadline: q.Deadline,
		until:    now.Add(min(claimWait, q.Deadline.Sub(now)/claimShare)),
	}
	return m, Write{Claim: m.claim, Until: m.until}
}

// Key returns the row's key.
func (m Machine) Key() string { return m.key }

// Wrote takes the outcome of a Write.
func (m Machine) Wrote(now thclock.Instant, err error) (Machine, Action) {
	switch {
	case err == nil:
		return m, m.send(now, m.version+1)
	case therror.Is(err, therror.ChangeConflict):
		return m, Read{}
	case !therror.Is(err, therror.StoreUnavailable):
		m.doubtful = true
	}
	return m.again(now)
}

// Found takes the row that was read.
func (m Machine) Found(now thclock.Instant, r thstore.Row, err error) (Machine, Action) {
	if err != nil {
		return m.again(now)
	}
	found, err := Decode(r)
	if err != nil {
		return m, Refuse{Err: therror.Wrap(therror.ClaimOutcomeLost, err, "the claim cannot be read")}
	}
	switch v := Judge(m.claim, found, r.Version, now).(type) {
	case Own:
		return m, m.send(now, v.Version)
	case Answered:
		return m, Reply(v)
	case Refused:
		return m, Refuse{Err: v.Err}
	case Free:
		if now.Passed(m.until) {
			return m.again(now)
		}
		m.version = v.Version
	}
	return m, Write{Version: m.version, Claim: m.claim, Until: m.until}
}

// again goes on after the store has failed, as long as there is time.
func (m Machine) again(now thclock.Instant) (Machine, Action) {
	if !now.Passed(m.until) {
		return m, Read{Pause: true}
	}
	refuse := Refuse{Err: therror.New(therror.ClaimUnavailable, "the store did not take the claim")}
	if m.doubtful {
		refuse.Undo = &Held{Key: m.key, Claim: m.claim.WithState(Released, nil)}
	}
	return m, refuse
}

func (m Machine) send(now thclock.Instant, version uint64) Action {
	h := Held{Key: m.key, Claim: m.claim, Version: version}
	if now.Passed(m.deadline) {
		h.Claim = h.Claim.WithState(Released, nil)
		return Refuse{Err: therror.New(therror.QueueTimeout, "no time is left to send the request"), Undo: &h}
	}
	return Send{Until: m.deadline, Held: h}
}

// Held is a claim of this VM on its way to its end. Version is 0 if it is not
// known whether and where it stands in the store.
type Held struct {
	Key     string
	Claim   Claim
	Version uint64
}

// Ended returns the claim with the state that the end of its request gives it.
func (h Held) Ended(answer *Answer, err error) Held {
	h.Claim = h.Claim.WithState(Outcome(err), answer)
	return h
}

// Found takes the row of a claim whose version was not known. It reports
// whether the claim still has to be written.
func (h Held) Found(r thstore.Row) (Held, bool) {
	found, err := Decode(r)
	if err != nil || r.Version == 0 || found.Token != h.Claim.Token || found.State != Claimed {
		return h, false
	}
	h.Version = r.Version
	return h, true
}

// Recorded reports whether the write of the claim's end has taken effect.
// Nobody but the owner writes over a claim, so a conflict means that an
// earlier try, whose answer was lost, did.
func (h Held) Recorded(err error) bool {
	return err == nil || therror.Is(err, therror.ChangeConflict)
}
