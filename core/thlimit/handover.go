package thlimit

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

// PullFor is how long after a pull was made its answer is of use.
const PullFor = time.Second

// Pull asks the VM that acts for some parts to hand them over.
type Pull struct {
	// Roster is the version that the new home goes by.
	Roster uint64 `json:"roster"`
	Parts  []Part `json:"parts"`
}

// Estate is a part as its former home hands it over.
type Estate struct {
	Part  Part    `json:"part"`
	Level float64 `json:"level"`
	Lots  []Lot   `json:"lots,omitempty"`
}

// Lot is an unspent lot in an estate.
type Lot struct {
	Spender     string `json:"spender"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	Tokens      int    `json:"tokens"`
	Spent       int    `json:"spent,omitempty"`
	// Advance says that the lot can be recalled.
	Advance bool `json:"advance,omitempty"`
	// RestMillis is how much longer the lot may live, rounded up.
	RestMillis int `json:"restMillis"`
}

// Move is a part that is to be pulled from or offered to another VM.
type Move struct {
	Part Part
	VM   throster.VM
}

// Yield hands over those of the parts that this VM has the right to act for
// and that the other VM is to have. Each is handed over once. The caller has
// made sure, after taking now, that this VM is fresh.
func (h *Home) Yield(now thclock.Instant, to throster.VM, q Pull) []Estate {
	es := []Estate{}
	for _, p := range q.Parts {
		if !h.mayYield(p, to, q.Roster) {
			continue
		}
		if b := h.held(now, p); b != nil {
			b.advance(now)
			es = append(es, b.estate(now, p))
			h.yielded[p] = yield{now, to}
			delete(h.buckets, p)
		}
	}
	return es
}

// mayYield reports whether the other VM is the part's rightful next home. One
// that goes by a newer accepted roster is believed, unless this VM has already
// lost the part to yet another.
func (h *Home) mayYield(p Part, to throster.VM, roster uint64) bool {
	if len(h.tenures) == 0 {
		return false
	}
	l := h.tenures[len(h.tenures)-1].layout
	if h.next != nil && roster == l.Roster().Version() {
		return is(h.next, p, to)
	}
	if h.keeps(l, p) || h.holdsFor(p) {
		return roster > l.Roster().Version()
	}
	return roster == l.Roster().Version() && is(l, p, to)
}

// holdsFor reports whether the VM acts for a part that a stopped VM handed it.
func (h *Home) holdsFor(p Part) bool {
	b := h.buckets[p]
	return b != nil && b.until == (thclock.Instant{})
}

func is(l *Layout, p Part, v throster.VM) bool {
	o, ok := l.Home(p)
	return ok && o.ID == v.ID && o.Incarnation == v.Incarnation
}

// held returns the part's bucket if this VM has the right to act for it, or
// has only just lost it.
func (h *Home) held(now thclock.Instant, p Part) *bucket {
	if b := h.bucket(now, p); b != nil {
		return b
	}
	return h.lost(now, p)
}

// lost returns the bucket of a part that this VM had the right to act for until
// the roster gave it to another.
func (h *Home) lost(now thclock.Instant, p Part) *bucket {
	all := h.tenures
	defer func() { h.tenures = all }()
	n := len(all)
	for n > 0 && !h.keeps(all[n-1].layout, p) {
		n--
	}
	if n == len(all) || now.Passed(all[n].until) {
		return nil
	}
	h.tenures = all[:n]
	b := h.bucket(now, p)
	if b != nil {
		b.until, b.resume = all[n].until, all[n].resume
	}
	return b
}

// Lose makes the parts that the newest layout has given to other VMs stand
// ready to be handed over, those too that nobody has asked for lately.
func (h *Home) Lose(now thclock.Instant, customers []thconfig.Customer) {
	for _, u := range customers {
		for i := range PartCount(u) {
			p := Part{u.Name, i}
			if h.buckets[p] == nil {
				h.lost(now, p)
			}
		}
	}
}

// pending is a pull on its way: when it was made, and under which layout.
type pending struct {
	at     thclock.Instant
	layout *Layout
}

// StartPull returns a number for a pull that is made now.
func (h *Home) StartPull(now thclock.Instant) uint64 {
	for number, o := range h.pulls {
		if now.Passed(o.at.Add(PullFor)) {
			delete(h.pulls, number)
		}
	}
	h.lastPull++
	l, _ := h.current()
	h.pulls[h.lastPull] = pending{now, l}
	return h.lastPull
}

// Inherit takes over what a former home has handed over in answer to a pull.
// An answer that is late, comes a second time, or comes after a newer roster, is
// of no effect: by then the part may have gone on to another VM. It returns how many parts it took.
func (h *Home) Inherit(now thclock.Instant, pull uint64, es []Estate) int {
	o, ok := h.pulls[pull]
	delete(h.pulls, pull)
	if l, _ := h.current(); !ok || l != o.layout || now.Passed(o.at.Add(PullFor)) {
		return 0
	}
	n := 0
	for _, e := range es {
		u, known := h.past.config.Customer(e.Part.Customer)
		if !known || h.buckets[e.Part] != nil {
			continue
		}
		rate, burst := h.past.share(now, u, e.Part)
		h.buckets[e.Part] = inherited(now, e, rate, burst)
		delete(h.yielded, e.Part)
		n++
	}
	return n
}

// Gained returns the parts that the VM became home to by joining and may not
// act for yet, and from which VM each is to be pulled: from the home without
// this VM, or, as that one may just have joined too, from one before it.
func (h *Home) Gained(now thclock.Instant, customers []thconfig.Customer, before int) []Move {
	l, ok := h.current()
	if !ok {
		return nil
	}
	without := NewLayout(l.Roster().WithoutVM(h.self.ID))
	ms := h.moves(without, customers)
	ms = slices.DeleteFunc(ms, func(m Move) bool { return h.buckets[m.Part] != nil || h.remembers(now, m.Part) })
	for i := range ms {
		r := without.Roster()
		for range before {
			r = r.WithoutVM(ms[i].VM.ID)
			if v, ok := NewLayout(r).Home(ms[i].Part); ok {
				ms[i].VM = v
			}
		}
	}
	return ms
}

// Moving returns the parts that the VM acts for although its layout gives them
// to another, and which VM is to pull each.
func (h *Home) Moving(now thclock.Instant) []Move {
	var ms []Move
	for p, b := range h.buckets {
		if b.until == (thclock.Instant{}) || b.ended(now) {
			continue
		}
		l, _ := h.current()
		if v, ok := l.Home(p); ok {
			ms = append(ms, Move{p, v})
		}
	}
	return ms
}

// Retire makes the VM hand over everything ahead of a planned stop, but not to
// those that are gone. It returns the parts and which VM is to pull each.
func (h *Home) Retire(customers []thconfig.Customer, gone ...string) []Move {
	l, ok := h.current()
	if !ok {
		return nil
	}
	r := l.Roster().WithoutVM(h.self.ID)
	for _, id := range gone {
		r = r.WithoutVM(id)
	}
	version := l.Roster().Version()
	h.next = NewLayout(throster.NewRoster(version, r.VMs()))
	return h.moves(h.next, customers)
}

func (h *Home) current() (*Layout, bool) {
	if len(h.tenures) == 0 {
		return nil, false
	}
	return h.tenures[len(h.tenures)-1].layout, true
}

// moves returns where the other layout puts the parts that this VM keeps.
func (h *Home) moves(other *Layout, customers []thconfig.Customer) []Move {
	l, _ := h.current()
	ms := []Move{}
	for _, u := range customers {
		for i := range PartCount(u) {
			p := Part{u.Name, i}
			_, given := h.yielded[p]
			if v, ok := other.Home(p); ok && !given && (h.keeps(l, p) || h.holdsFor(p)) {
				ms = append(ms, Move{p, v})
			}
		}
	}
	return ms
}

func (b *bucket) estate(now thclock.Instant, p Part) Estate {
	e := Estate{Part: p, Level: b.level}
	for _, l := range b.lots {
		rest := max(l.deadline.Mono-now.Mono, l.deadline.Wall-now.Wall)
		e.Lots = append(e.Lots, Lot{
			Spender: l.spender, Incarnation: l.incarnation, Number: l.number,
			Tokens: l.tokens, Spent: l.spent, Advance: l.advance, RestMillis: millisUp(rest),
		})
	}
	return e
}

// inherited returns the bucket of an estate. Its lots live at least as long
// here as they would have at their first home.
func inherited(now thclock.Instant, e Estate, rate float64, burst int) *bucket {
	b := &bucket{rate: rate, burst: burst, level: e.Level, filled: now}
	for _, l := range e.Lots {
		n := lot{
			spender: l.Spender, incarnation: l.Incarnation, number: l.Number,
			tokens: l.Tokens, spent: l.Spent, advance: l.Advance, deadline: now.Add(withDrift(fromMillis(l.RestMillis))),
		}
		b.lots = append(b.lots, n)
		b.unspent += n.unspent()
	}
	b.level = min(b.level, b.room())
	return b
}
