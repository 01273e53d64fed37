package thclaim_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/thstore"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world is a store that loses, delays and refuses writes, the requests that
// VMs with wrong clocks send through it, and the target that counts the runs.
type world struct {
	t    *rapid.T
	time time.Duration
	rows map[string]thstore.Row
	// delayed are writes that the store has yet to take.
	delayed []delayedWrite
	actors  []*actor
	// runs holds the answers that the target gave for each key.
	runs map[string][]string
	held []thclaim.Held
}

type delayedWrite struct {
	key     string
	version uint64
	value   []byte
}

// actor is one transmission of a request through one VM.
type actor struct {
	name    string
	skew    time.Duration
	request *threquest.Request
	machine thclaim.Machine
	action  thclaim.Action
	sent    bool
}

func (w *world) now(a *actor) thclock.Instant {
	return thclock.Instant{Mono: w.time, Wall: w.time + a.skew}
}

func (w *world) apply(d delayedWrite) bool {
	r := w.rows[d.key]
	if r.Version != d.version {
		return false
	}
	w.rows[d.key] = thstore.Row{Key: d.key, Version: r.Version + 1, Value: d.value}
	return true
}

// write is one write over the lossy path.
func (w *world) write(key string, version uint64, value []byte) error {
	d := delayedWrite{key, version, value}
	switch rapid.SampledFrom([]string{"kept", "kept", "answerLost", "delayed", "lost", "refused"}).Draw(w.t, "write") {
	case "kept":
		if !w.apply(d) {
			return therror.New(therror.ChangeConflict, "")
		}
		return nil
	case "answerLost":
		w.apply(d)
	case "delayed":
		w.delayed = append(w.delayed, d)
	case "refused":
		return therror.New(therror.StoreUnavailable, "")
	}
	return therror.New(therror.StoreOutcomeUnknown, "")
}

// step lets one thing happen.
func (w *world) step() {
	switch rapid.SampledFrom([]string{"actor", "actor", "actor", "actor", "time", "late", "end"}).Draw(w.t, "step") {
	case "actor":
		a := rapid.SampledFrom(w.actors).Draw(w.t, "actor")
		w.act(a)
	case "time":
		w.time += time.Duration(rapid.SampledFrom([]int{1, 100, 3000, 20000}).Draw(w.t, "millis")) * time.Millisecond
	case "late":
		if len(w.delayed) > 0 {
			w.apply(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case "end":
		w.finish()
	}
}

// act makes the actor's next move; an actor that is never drawn again is a VM
// that died, and one that is drawn late is a VM that was paused.
func (w *world) act(a *actor) {
	switch d := a.action.(type) {
	case thclaim.Write:
		a.machine, a.action = a.machine.Wrote(w.now(a), w.write(a.machine.Key(), d.Version, d.Claim.Encode()))
	case thclaim.Read:
		r, err := w.rows[a.machine.Key()], error(nil)
		if rapid.IntRange(0, 4).Draw(w.t, "read") == 0 {
			r, err = thstore.Row{}, therror.New(therror.StoreUnavailable, "")
		}
		a.machine, a.action = a.machine.Found(w.now(a), r, err)
	case thclaim.Send:
		if !a.sent {
			a.sent = true
			w.held = append(w.held, w.send(a, d))
		}
	case thclaim.Reply:
		w.checkReply(a, string(d.Answer.Body))
	case thclaim.Refuse:
		if d.Undo != nil {
			w.held = append(w.held, *d.Undo)
			a.action = thclaim.Refuse{Err: d.Err}
		}
	}
}

// send runs the request unless its deadline has passed.
func (w *world) send(a *actor, d thclaim.Send) thclaim.Held {
	if w.now(a).Passed(d.Until) {
		return d.Held.Ended(nil, therror.New(therror.QueueTimeout, ""))
	}
	if rapid.IntRange(0, 4).Draw(w.t, "connect") == 0 {
		return d.Held.Ended(nil, therror.New(therror.ConnectFailed, ""))
	}
	answer := fmt.Sprint(a.name, len(w.runs[a.machine.Key()]))
	w.runs[a.machine.Key()] = append(w.runs[a.machine.Key()], answer)
	if rapid.IntRange(0, 4).Draw(w.t, "answer") == 0 {
		return d.Held.Ended(nil, therror.New(therror.AnswerLost, ""))
	}
	return d.Held.Ended(&thclaim.Answer{Status: 200, Body: []byte(answer)}, nil)
}

// finish lets one claim's end be written, or tried.
func (w *world) finish() {
	if len(w.held) == 0 {
		return
	}
	h := w.held[0]
	w.held = w.held[1:]
	if h.Version == 0 {
		found, left := h.Found(w.rows[h.Key])
		if !left {
			return
		}
		h = found
	}
	if !h.Recorded(w.write(h.Key, h.Version, h.Claim.Encode())) {
		w.held = append(w.held, h)
	}
}

func (w *world) checkReply(a *actor, body string) {
	runs := w.runs[a.machine.Key()]
	if len(runs) != 1 || runs[0] != body {
		w.t.Fatalf("%s was told %q, the runs were %v", a.name, body, runs)
	}
}

func (w *world) checkRuns() {
	for key, runs := range w.runs {
		if len(runs) > 1 {
			w.t.Fatalf("%s ran %d times: %v", key, len(runs), runs)
		}
	}
}

func request(key, body string, deadline thclock.Instant) *threquest.Request {
	return &threquest.Request{
		Method: "POST", URI: "/orders", Body: []byte(body), IdempotencyKey: key,
		Customer: thconfig.Customer{Name: "depot"}, Deadline: deadline,
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, time: time.Hour, rows: map[string]thstore.Row{}, runs: map[string][]string{}}
	for i := range rapid.IntRange(2, 6).Draw(t, "transmissions") {
		a := &actor{name: fmt.Sprint("vm", i), skew: time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Minute}
		a.request = request(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), "crate", w.now(a).Add(10*time.Second))
		a.machine, a.action = thclaim.Begin(a.request, a.name, a.name, w.now(a))
		w.actors = append(w.actors, a)
	}
	return w
}

func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
			w.checkRuns()
		}
	})
}

func TestJudge(t *testing.T) {
	now := thclock.At(time.Hour)
	want := thclaim.Claim{Token: "mine", Digest: "d"}
	other := thclaim.Claim{Token: "other", Digest: "d", State: thclaim.Claimed, SendUntil: now.Wall + 1}
	late := other
	late.SendUntil = now.Wall
	foreign := other
	foreign.Digest = "e"
	mine := other
	mine.Token = "mine"
	kind := func(v thclaim.Verdict) string {
		switch v := v.(type) {
		case thclaim.Refused:
			return therror.KindOf(v.Err).String()
		default:
			return fmt.Sprintf("%T", v)
		}
	}
	for _, k := range []struct {
		found   thclaim.Claim
		version uint64
		want    string
	}{
		{thclaim.Claim{}, 0, "thclaim.Free"},
		{mine, 1, "thclaim.Own"},
		{other, 1, "claimRunning"},
		{late, 1, "claimOutcomeLost"},
		{foreign, 1, "claimMismatch"},
		{foreign.WithState(thclaim.Released, nil), 2, "thclaim.Free"},
		{other.WithState(thclaim.Lost, nil), 2, "claimOutcomeLost"},
		{other.WithState(thclaim.Done, &thclaim.Answer{}), 2, "thclaim.Answered"},
		{other.WithState(thclaim.Done, &thclaim.Answer{Dropped: true}), 2, "claimOutcomeLost"},
	} {
		assert.Equal(t, kind(thclaim.Judge(want, k.found, k.version, now)), k.want)
	}
}

func TestSweepNeedsAnotherClock(t *testing.T) {
	row := func(key, owner string, made time.Duration) thstore.Row {
		m := thclaim.Claim{Owner: owner, State: thclaim.Done, Expires: made + thclaim.Retention}
		return thstore.Row{Key: key, Version: 3, Value: m.Encode()}
	}
	start := 1000 * time.Hour
	old := row("claims/1", "vm1", start)
	ahead := thclock.At(start + 100*time.Hour)
	_, ok := thclaim.Sweep([]thstore.Row{old, row("claims/2", "vm2", start+time.Hour)}, "vm3", ahead)
	assert.Assert(t, !ok, "deleted by the sweeper's clock alone")
	_, ok = thclaim.Sweep([]thstore.Row{old, row("claims/2", "vm2", start+90*time.Hour)}, "vm3", ahead)
	assert.Assert(t, !ok, "deleted by two clocks of which one may be wrong alike")
	tx, ok := thclaim.Sweep([]thstore.Row{old, row("claims/2", "vm2", start+90*time.Hour), row("claims/3", "vm4", start+80*time.Hour)}, "vm3", ahead)
	assert.Assert(t, ok)
	assert.DeepEqual(t, tx.Conditions, []thstore.Condition{{Key: "claims/1", Version: 3}})
}

// TestClaimSize keeps a claim's row, with an answer of the usual size, below a
// kilobyte.
func TestClaimSize(t *testing.T) {
	q := request("k", "crate", thclock.At(400000*time.Hour))
	_, action := thclaim.Begin(q, "kigali-a-vm17", "0123456789abcdef0123456789abcdef", thclock.At(400000*time.Hour-10*time.Second))
	w, ok := action.(thclaim.Write)
	assert.Assert(t, ok)
	answer := &thclaim.Answer{
		Status: 201, Target: "10.20.30.40:8080", Body: make([]byte, 200),
		Headers: []threquest.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	done := w.Claim.WithState(thclaim.Done, answer)
	t.Logf("claimed %d bytes, done with 200 bytes of answer %d bytes, key %d bytes", len(w.Claim.Encode()), len(done.Encode()), len(thclaim.Key("depot", "k")))
	assert.Assert(t, len(done.Encode()) < 1<<10)
}
