package thlimit

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

// Home is one VM's role as home: the parts that it keeps. It remembers only
// parts that have been asked for lately; the level of any other follows from
// how long the VM has been its home. Make one with NewHome.
//
// At most one VM acts for a part at any moment. The right to act comes with a
// layout, once every VM that goes by an older one has surely stopped, or is
// handed over by the VM that has it.
type Home struct {
	self     throster.VM
	freshFor time.Duration
	wait     time.Duration
	tenures  []tenure
	past     past
	buckets  map[Part]*bucket
	yielded  map[Part]yield
	pulls    map[uint64]pending
	lastPull uint64
	// next is the layout without this VM, once it is about to stop.
	next *Layout
	// confirmed is when the VM was last fresh without knowing of a roster
	// newer than its layout's.
	confirmed thclock.Instant
}

// tenure is a layout that came into use here.
type tenure struct {
	layout *Layout
	// accepted says that the roster is known to be accepted, since when.
	accepted bool
	since    thclock.Instant
	// adopted is when the layout became known here. For the parts that it gave
	// to others the VM acts on until the given moment, and until resume they
	// may come back to it as they stand.
	adopted thclock.Instant
	until   thclock.Instant
	resume  thclock.Instant
}

// yield is when a part was handed over, and to whom.
type yield struct {
	at thclock.Instant
	to throster.VM
}

// maxTenures bounds the history of layouts.
const maxTenures = 64

// NewHome returns a home. A VM that misses an accepted roster or configuration
// for longer than freshFor must not ask it for anything.
func NewHome(self throster.VM, freshFor time.Duration) *Home {
	return &Home{
		self: self, freshFor: freshFor, wait: TakeoverWait(freshFor),
		buckets: make(map[Part]*bucket), yielded: make(map[Part]yield),
		pulls: make(map[uint64]pending),
	}
}

// TakeoverWait returns how long a new home waits if nobody hands the part
// over. A VM that has missed the change of homes stops after freshFor; one
// that has missed it and the change back may have acted as long again; and the
// lots that it gave live for LotLife.
func TakeoverWait(freshFor time.Duration) time.Duration {
	return 2*freshFor + LotLife
}

// Confirm takes note that the VM is fresh at the given moment, and knew of no
// newer roster than its layout's when that was found. Freshness has to be
// looked at first, and the newest roster afterwards.
func (h *Home) Confirm(now thclock.Instant) { h.confirmed = now }

// Adopt brings a layout into use as soon as its roster is known. For parts
// that go elsewhere the VM acts on, until they are handed over, for as long as
// it could have if it had not heard of the change. A VM that has not been fresh
// all the time may have missed that others acted, and begins anew.
func (h *Home) Adopt(now thclock.Instant, l *Layout) {
	t := tenure{layout: l, adopted: now, until: h.confirmed.Add(h.freshFor), resume: h.confirmed.Add(LotLife)}
	if now.Passed(t.until) {
		h.tenures = nil
		clear(h.buckets)
	}
	h.tenures = append(h.tenures, t)
	if n := len(h.tenures); n > maxTenures {
		h.tenures = append([]tenure(nil), h.tenures[n-maxTenures:]...)
	}
	for p, b := range h.buckets {
		h.adoptPart(now, t, p, b)
	}
	for p, y := range h.yielded {
		if y.at.Before(h.tenures[0].adopted) {
			delete(h.yielded, p)
		}
	}
}

// Accept takes note that every roster up to the version is accepted.
func (h *Home) Accept(now thclock.Instant, version uint64) {
	for i := range h.tenures {
		t := &h.tenures[i]
		if !t.accepted && t.layout.Roster().Version() <= version {
			t.accepted, t.since = true, now
		}
	}
}

// Accepted reports whether the layout in use is known to be accepted.
func (h *Home) Accepted() bool {
	n := len(h.tenures)
	return n > 0 && h.tenures[n-1].accepted
}

func (h *Home) adoptPart(now thclock.Instant, t tenure, p Part, b *bucket) {
	if !h.keeps(t.layout, p) {
		if b.until == (thclock.Instant{}) {
			b.until, b.resume = t.until, t.resume
		}
		return
	}
	// The VM between may already wait no longer, unless it lost the part again
	// at once.
	if b.until != (thclock.Instant{}) && now.Passed(b.resume) {
		delete(h.buckets, p)
		return
	}
	b.until = thclock.Instant{}
}

func (h *Home) keeps(l *Layout, p Part) bool {
	v, ok := l.Home(p)
	return ok && h.isSelf(v)
}

func (h *Home) isSelf(v throster.VM) bool {
	return v.ID == h.self.ID && v.Incarnation == h.self.Incarnation
}

// since returns the tenure in which the VM became home to the part, and false
// if it is not its home, has handed it over since, or does not know yet that
// the roster which made it home is accepted.
func (h *Home) since(p Part) (tenure, bool) {
	var first tenure
	found := false
	y, gone := h.yielded[p]
	for i := len(h.tenures) - 1; i >= 0 && h.keeps(h.tenures[i].layout, p); i-- {
		if gone && !y.at.Before(h.tenures[i].adopted) {
			break
		}
		first, found = h.tenures[i], true
	}
	return first, found && first.accepted
}

// Configure brings a newer configuration into force.
func (h *Home) Configure(now thclock.Instant, c thconfig.Config) {
	if c.Version() > h.past.config.Version() {
		h.past = h.past.withConfig(now, c, h.wait)
	}
}

// Ask answers a spender, and returns the VMs to recall advance tokens of the
// part from. The caller has made sure, after taking now, that this VM is fresh.
func (h *Home) Ask(now thclock.Instant, from throster.VM, a Ask) (Grant, []string) {
	b := h.bucket(now, a.Part)
	if b == nil {
		return h.elsewhere(a), nil
	}
	b.advance(now)
	for _, r := range a.Reports {
		b.report(from, r)
	}
	g := b.ask(now, from, a)
	if g.Tokens >= a.Need {
		return g, nil
	}
	ids := b.recall(from)
	g.Recalled = len(ids) > 0
	return g, ids
}

func (h *Home) elsewhere(a Ask) Grant {
	g := Grant{Status: StatusNotHome, Number: a.Number}
	if y, ok := h.yielded[a.Part]; ok {
		g.Home = &y.to
	}
	return g
}

// Report takes reports about lots, and returns those that are to be sent on
// because their parts have been handed over.
func (h *Home) Report(now thclock.Instant, from throster.VM, rs []Report) []Notice {
	var on []Notice
	for _, r := range rs {
		if b := h.buckets[r.Part]; b != nil {
			b.advance(now)
			b.report(from, r)
			continue
		}
		if y, ok := h.yielded[r.Part]; ok && now.Before(y.at.Add(LotLife)) {
			on = append(on, Notice{y.to, r})
		}
	}
	return on
}

// bucket returns the part's bucket, or nil if the VM may not act for it.
func (h *Home) bucket(now thclock.Instant, p Part) *bucket {
	u, known := h.past.config.Customer(p.Customer)
	if !known || p.Index < 0 || p.Index >= PartCount(u) {
		delete(h.buckets, p)
		return nil
	}
	b := h.buckets[p]
	if b != nil && b.ended(now) {
		delete(h.buckets, p)
		return nil
	}
	if b == nil {
		b = h.fresh(now, p)
	}
	if b != nil {
		rate, burst := h.past.share(now, u, p)
		b.resize(now, rate, burst)
	}
	return b
}

// fresh returns a new bucket for a part that the VM has been home to for long
// enough. Of a customer that is new since it became home nobody else can have
// given tokens, provided that no VM begins with a customer under a roster that
// is older than the customer.
func (h *Home) fresh(now thclock.Instant, p Part) *bucket {
	t, ok := h.since(p)
	if !ok || h.behind(p) {
		return nil
	}
	l, _ := h.current()
	start := t.since.Add(h.wait)
	u, _ := h.past.config.Customer(p.Customer)
	rate, burst := h.past.share(now, u, p)
	b := &bucket{rate: rate, burst: burst, filled: start}
	switch {
	case h.past.newSince(p.Customer, l.Roster().Version()):
		b.filled, b.level = now, float64(burst)
	case !now.SurelyPassed(start):
		return nil
	}
	h.buckets[p] = b
	return b
}

// behind reports that the configuration has a newer roster than the layout,
// and the customer may be newer than that roster.
func (h *Home) behind(p Part) bool {
	l, ok := h.current()
	if !ok {
		return true
	}
	newest := h.past.config.Roster().Version()
	return l.Roster().Version() < newest && !h.past.knewBefore(p.Customer, newest)
}

// Prune forgets the parts that stand as if never asked. It returns how many
// are left.
func (h *Home) Prune(now thclock.Instant) int {
	for p, b := range h.buckets {
		b.advance(now)
		if b.ended(now) || b.full() && h.remembers(now, p) {
			delete(h.buckets, p)
		}
	}
	return len(h.buckets)
}

// remembers reports whether the VM could act for the part without its bucket.
func (h *Home) remembers(now thclock.Instant, p Part) bool {
	t, ok := h.since(p)
	return ok && now.SurelyPassed(t.since.Add(h.wait))
}

// Parts returns how many parts are remembered.
func (h *Home) Parts() int { return len(h.buckets) }
