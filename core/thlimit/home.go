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
type Home struct {
	self    throster.VM
	wait    time.Duration
	tenures []tenure
	buckets map[Part]*bucket
}

// tenure is a layout and when it came into use here.
type tenure struct {
	layout *Layout
	since  thclock.Instant
}

// maxTenures bounds the history of layouts.
const maxTenures = 64

// NewHome returns a home that begins to act for a part only once the takeover
// wait has gone by since it became the part's home.
func NewHome(self throster.VM, takeoverWait time.Duration) *Home {
	return &Home{self: self, wait: takeoverWait, buckets: make(map[Part]*bucket)}
}

// Adopt brings a layout into use. Parts that the VM is home to no longer are
// dropped at once.
func (h *Home) Adopt(now thclock.Instant, l *Layout) {
	h.tenures = append(h.tenures, tenure{l, now})
	if n := len(h.tenures); n > maxTenures {
		h.tenures = append([]tenure(nil), h.tenures[n-maxTenures:]...)
	}
	for p := range h.buckets {
		if !h.keeps(l, p) {
			delete(h.buckets, p)
		}
	}
}

func (h *Home) keeps(l *Layout, p Part) bool {
	v, ok := l.Home(p)
	return ok && v.ID == h.self.ID && v.Incarnation == h.self.Incarnation
}

// since returns when the VM became home to the part, and false if it is not.
func (h *Home) since(p Part) (thclock.Instant, bool) {
	var since thclock.Instant
	found := false
	for i := len(h.tenures) - 1; i >= 0 && h.keeps(h.tenures[i].layout, p); i-- {
		since, found = h.tenures[i].since, true
	}
	return since, found
}

// Ask answers a spender. The caller has made sure, after taking now, that the
// VM is fresh; u is the part's customer as the VM's configuration has it.
func (h *Home) Ask(now thclock.Instant, from throster.VM, u thconfig.Customer, a Ask) Grant {
	b := h.bucket(now, u, a.Part)
	if b == nil {
		return Grant{Status: StatusNotHome, Number: a.Number}
	}
	b.advance(now)
	for _, r := range a.Reports {
		b.report(from, r)
	}
	return b.ask(now, from, a)
}

// Report takes reports about lots.
func (h *Home) Report(now thclock.Instant, from throster.VM, rs []Report) {
	for _, r := range rs {
		if b := h.buckets[r.Part]; b != nil {
			b.advance(now)
			b.report(from, r)
		}
	}
}

// bucket returns the part's bucket, or nil if the VM may not act for it.
func (h *Home) bucket(now thclock.Instant, u thconfig.Customer, p Part) *bucket {
	rate, burst := p.Share(u)
	if b := h.buckets[p]; b != nil {
		b.resize(now, rate, burst)
		return b
	}
	since, ok := h.since(p)
	start := since.Add(h.wait)
	if !ok || !now.SurelyPassed(start) {
		return nil
	}
	b := &bucket{rate: rate, burst: burst, filled: start}
	h.buckets[p] = b
	return b
}

// Prune forgets the parts that stand as if never asked. It returns how many
// are left.
func (h *Home) Prune(now thclock.Instant) int {
	for p, b := range h.buckets {
		b.advance(now)
		if b.full() {
			delete(h.buckets, p)
		}
	}
	return len(h.buckets)
}

// Parts returns how many parts are remembered.
func (h *Home) Parts() int { return len(h.buckets) }
