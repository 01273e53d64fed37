package thlimit

import (
	"math"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// lot is what a home remembers of a grant.
type lot struct {
	spender     string
	incarnation uint64
	number      uint64
	tokens      int
	spent       int
	// deadline is when the spender has surely stopped spending.
	deadline thclock.Instant
	life     time.Duration
	advance  bool
	recalled bool
}

func (l lot) unspent() int { return l.tokens - l.spent }

func (l lot) of(v throster.VM, number uint64) bool {
	return l.number == number && l.spender == v.ID && l.incarnation == v.Incarnation
}

// bucket is one part at its home. Level and unspent lots together never
// exceed burst, but for lots given before burst was lowered.
type bucket struct {
	rate    float64
	burst   int
	level   float64
	filled  thclock.Instant
	lots    []lot
	unspent int
	pace    time.Duration
	// until is set once the part has gone to another home: until then the VM
	// acts on, and until resume the part may come back to it as it stands.
	until  thclock.Instant
	resume thclock.Instant
}

// ended reports that the VM must act for the part no longer.
func (b *bucket) ended(now thclock.Instant) bool {
	return b.until != (thclock.Instant{}) && now.Passed(b.until)
}

// advance brings the bucket to the present: lots that have surely ended count
// as spent, and the level grows with time.
func (b *bucket) advance(now thclock.Instant) {
	b.refill(now)
	kept := b.lots[:0]
	for _, l := range b.lots {
		if now.SurelyPassed(l.deadline) {
			b.unspent -= l.unspent()
			continue
		}
		kept = append(kept, l)
	}
	b.lots = kept
}

// refill counts by the monotonic clock alone: a step of the wall clock makes
// no tokens, and a suspended VM loses some.
func (b *bucket) refill(now thclock.Instant) {
	dt := now.Sub(b.filled)
	if dt <= 0 {
		return
	}
	b.filled = now
	b.level = min(b.level+b.rate*dt.Seconds(), b.room())
}

// room is the highest level that the unspent lots leave.
func (b *bucket) room() float64 { return float64(max(0, b.burst-b.unspent)) }

// resize takes up a changed rate and burst from the present on.
func (b *bucket) resize(now thclock.Instant, rate float64, burst int) {
	if b.rate == rate && b.burst == burst {
		return
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.room())
}

func (b *bucket) find(v throster.VM, number uint64) int {
	for i, l := range b.lots {
		if l.of(v, number) {
			return i
		}
	}
	return -1
}

// report takes a spender's report. What was spent leaves the lot, and what a
// finished lot has left goes back to the level.
func (b *bucket) report(v throster.VM, r Report) {
	i := b.find(v, r.Number)
	if i < 0 {
		return
	}
	l := &b.lots[i]
	if spent := min(r.Spent, l.tokens); spent > l.spent {
		b.unspent -= spent - l.spent
		l.spent = spent
	}
	if !r.Done {
		return
	}
	left := l.unspent()
	b.unspent -= left
	b.level += float64(left)
	b.lots = append(b.lots[:i], b.lots[i+1:]...)
}

// ask gives a lot, as far as there are tokens. An ask that comes twice gets
// the same lot.
func (b *bucket) ask(now thclock.Instant, v throster.VM, a Ask) Grant {
	if i := b.find(v, a.Number); i >= 0 {
		return b.granted(b.lots[i])
	}
	tokens, life := b.size(a)
	b.adapt(tokens > 0)
	if tokens == 0 {
		return Grant{Status: StatusShort, Number: a.Number, WaitMillis: millisUp(b.wait())}
	}
	l := lot{
		spender: v.ID, incarnation: v.Incarnation, number: a.Number, tokens: tokens,
		deadline: now.Add(withDrift(life)), life: life, advance: life > needLife,
	}
	b.lots = append(b.lots, l)
	b.level -= float64(tokens)
	b.unspent += tokens
	return b.granted(l)
}

// recall picks the VMs that are to give back what they hold in advance. Each
// lot is recalled once.
func (b *bucket) recall(asker throster.VM) []string {
	var ids []string
	for i := range b.lots {
		l := &b.lots[i]
		if !l.advance || l.recalled || l.unspent() == 0 || l.spender == asker.ID {
			continue
		}
		l.recalled = true
		if !slices.Contains(ids, l.spender) {
			ids = append(ids, l.spender)
		}
	}
	return ids
}

func (b *bucket) granted(l lot) Grant {
	return Grant{
		Status: StatusGranted, Number: l.number, Tokens: l.tokens,
		LifeMillis: millis(l.life), Level: int(b.level), WaitMillis: millisUp(b.wait()), Tight: 2*b.unspent > b.burst,
	}
}

// size decides how many tokens an ask gets. Waiting requests come first; what
// is held in advance by all VMs stays within half of the burst.
func (b *bucket) size(a Ask) (int, time.Duration) {
	free := int(b.level)
	need := min(max(0, a.Need), free)
	extra := min(max(0, a.Advance), free-need, b.burst/2-b.unspent-need)
	if extra > 0 {
		return need + extra, advanceLife
	}
	return need, needLife
}

const (
	minWait = 2 * time.Millisecond
	maxWait = time.Second
	// maxPace bounds how seldom spenders ask a part that is short.
	maxPace = 250 * time.Millisecond
	// slower and faster are the steps of the pace: at rest about two asks in
	// three find nothing.
	slower = 1.05
	faster = 0.9
)

// adapt makes spenders ask less often while most asks find nothing.
func (b *bucket) adapt(found bool) {
	step := slower
	if found {
		step = faster
	}
	most := maxPace
	if b.rate > 0 {
		most = min(most, time.Duration(float64(b.burst)/b.rate/2*float64(time.Second)))
	}
	b.pace = min(max(time.Duration(float64(b.pace)*step), minWait), most)
}

// wait is how long a spender that found nothing does not ask again: at least
// until the level holds a whole token.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 {
		return maxWait
	}
	missing := math.Max(0, 1-b.level)
	d := time.Duration(missing / b.rate * float64(time.Second))
	return min(max(d, b.pace, minWait), maxWait)
}

// full reports that the bucket is as if it had never been asked.
func (b *bucket) full() bool {
	return len(b.lots) == 0 && b.level >= float64(b.burst)
}
