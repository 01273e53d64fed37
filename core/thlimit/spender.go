package thlimit

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

// Verdict is what a spender decides on a request.
type Verdict uint8

// The verdicts.
const (
	// Admitted requests have spent a token.
	Admitted Verdict = iota + 1
	// Asking requests wait for the answer to the decision's ask.
	Asking
	// Waiting requests wait for the answer to an ask on its way.
	Waiting
	// OverLimit requests find no token in any part.
	OverLimit
	// Unreachable requests find no token, and some part gave no answer.
	Unreachable
)

// Decision is a verdict and what is to be sent: for Asking, or for Admitted
// when the tokens run low, an ask; for Admitted from a part that is short of
// room, a notice.
type Decision struct {
	Verdict Verdict
	Ask     *Outgoing
	Notice  *Notice
}

// Notice is a report and where it goes.
type Notice struct {
	Home   throster.VM
	Report Report
}

// Outgoing is an ask and where it goes.
type Outgoing struct {
	Ask  Ask
	Home throster.VM
	// Asked is when the ask was made; the lot's life counts from it.
	Asked thclock.Instant
}

// Try is what one request remembers between its decisions. The zero Try is a
// request that has just come.
type Try struct {
	waits bool
	since thclock.Instant
}

// Spender is one VM's role as spender for some customers. It remembers only
// customers that have sent requests lately. The zero Spender is ready to use.
type Spender struct {
	accounts map[string]*account
	last     uint64
}

// holding is a lot as its spender has it.
type holding struct {
	part     int
	number   uint64
	left     int
	spent    int
	deadline thclock.Instant
	advance  bool
	tight    bool
}

// view is what a spender knows of one part.
type view struct {
	// number and asked are the ask on its way; number zero means none.
	number uint64
	asked  thclock.Instant
	need   int
	level  int
	// used is when the part was last asked.
	used thclock.Instant
	// refused is when the last ask was made that did not get what it needed.
	refused   thclock.Instant
	emptyTill thclock.Instant
	downTill  thclock.Instant
	// recalled says that the home fetches tokens back for this VM to ask again.
	recalled bool
	// moving says that the part was last found to be between two homes.
	moving bool
	// home is asked in place of the home by the layout of that version, and
	// those that are gone are passed over.
	home   throster.VM
	gone   []string
	layout uint64
}

type account struct {
	views    [Parts]view
	holdings []holding
	waiting  int
	// demand counts requests, old ones less and less.
	demand  float64
	counted thclock.Instant
	used    thclock.Instant
}

const (
	// demandSpan is how fast old requests lose their weight.
	demandSpan = time.Second
	// horizon is for how long a spender likes to hold tokens.
	horizon = 200 * time.Millisecond
	// steady is the demand from which on tokens are asked for in advance.
	steady = 1.2
	// downTime is how long a part that gave no answer is left alone.
	downTime = 500 * time.Millisecond
	// HedgeAfter is how long an ask may take before another part is asked too.
	HedgeAfter = 10 * time.Millisecond
	// maxGone bounds how many homes of a part are tried one after the other.
	maxGone = 3
	// comingWait is how long a request waits for a part between two homes, or
	// for tokens that are fetched back.
	comingWait = 200 * time.Millisecond
	// recallTime is how long it takes to fetch tokens back.
	recallTime = 8 * time.Millisecond
	// moveTime is how long a part is left alone whose home does not act yet.
	moveTime = 50 * time.Millisecond
	// idleTime is after how long without a request holdings go back.
	idleTime = 1500 * time.Millisecond
	// forgetTime is after how long without a request a customer is forgotten.
	forgetTime = 10 * time.Second
	// flushLead is how long before its end a lot goes back.
	flushLead = 250 * time.Millisecond
)

func (s *Spender) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		a = &account{}
		s.accounts[name] = a
	}
	return a
}

// Admit decides on a request. For Asking and Waiting it is to be called again
// with the same Try after the next answer.
func (s *Spender) Admit(now thclock.Instant, l *Layout, u thconfig.Customer, t *Try) Decision {
	a := s.account(u.Name)
	if !t.waits {
		a.count(now)
	}
	if h := a.spend(now); h != nil {
		a.leave(t)
		notice := a.settle(l, u.Name, h)
		return Decision{Admitted, s.prefetch(now, l, u, a), notice}
	}
	a.join(now, t)
	return s.seek(now, l, u, a, t)
}

// Abandon ends a request that no longer waits.
func (s *Spender) Abandon(customer string, t *Try) {
	if a := s.accounts[customer]; a != nil {
		a.leave(t)
	}
}

func (a *account) count(now thclock.Instant) {
	a.decay(now)
	a.demand++
	a.used = now
}

func (a *account) decay(now thclock.Instant) {
	if dt := now.Sub(a.counted); dt > 0 {
		a.demand *= math.Exp(-float64(dt) / float64(demandSpan))
		a.counted = now
	}
}

func (a *account) join(now thclock.Instant, t *Try) {
	if !t.waits {
		t.waits, t.since = true, now
		a.waiting++
	}
}

func (a *account) leave(t *Try) {
	if t.waits {
		t.waits = false
		a.waiting--
	}
}

// spend takes one token from a live holding. It is the one place where tokens
// are spent, and it looks at both clocks.
func (a *account) spend(now thclock.Instant) *holding {
	for i := range a.holdings {
		h := &a.holdings[i]
		if h.left > 0 && !now.Passed(h.deadline) {
			h.left--
			h.spent++
			return h
		}
	}
	return nil
}

// settle returns the notice of a lot that is spent, if its home waits for it.
func (a *account) settle(l *Layout, customer string, h *holding) *Notice {
	if !h.tight || h.left > 0 {
		return nil
	}
	n, ok := a.notice(l, customer, h)
	a.drop(func(o holding) bool { return o.part == n.Report.Part.Index && o.number == n.Report.Number })
	if !ok {
		return nil
	}
	return &n
}

// notice tells a home that no more of a lot will be spent.
func (a *account) notice(l *Layout, customer string, h *holding) (Notice, bool) {
	p := Part{customer, h.part}
	home, ok := a.views[h.part].homeBy(l, p)
	return Notice{home, Report{Part: p, Number: h.number, Spent: h.spent, Done: true}}, ok
}

// tokens counts what can still be spent at the given time.
func (a *account) tokens(at thclock.Instant) int {
	n := 0
	for _, h := range a.holdings {
		if !at.Passed(h.deadline) {
			n += h.left
		}
	}
	return n
}

// target is how many tokens the account likes to hold.
func (a *account) target() int {
	if a.demand < steady {
		return 0
	}
	return int(math.Ceil(a.demand * horizon.Seconds() / demandSpan.Seconds()))
}

// prefetch asks for more before the tokens run out.
func (s *Spender) prefetch(now thclock.Instant, l *Layout, u thconfig.Customer, a *account) *Outgoing {
	target := a.target()
	if target == 0 || a.asking(now) {
		return nil
	}
	have := a.tokens(now.Add(horizon))
	if 2*have > target {
		return nil
	}
	i, ok := a.choose(now, u, nil)
	if !ok {
		return nil
	}
	return s.ask(now, l, u, a, i, 0, target-have)
}

// asking reports that an answer is to be expected any moment.
func (a *account) asking(now thclock.Instant) bool {
	for i := range a.views {
		v := &a.views[i]
		if v.number != 0 && now.Before(v.asked.Add(HedgeAfter)) {
			return true
		}
	}
	return false
}

// seek looks for a part to ask on behalf of a request without a token.
func (s *Spender) seek(now thclock.Instant, l *Layout, u thconfig.Customer, a *account, t *Try) Decision {
	if a.asking(now) {
		return Decision{Verdict: Waiting}
	}
	if i, ok := a.choose(now, u, t); ok {
		if o := s.ask(now, l, u, a, i, a.waiting, a.target()); o != nil {
			return Decision{Verdict: Asking, Ask: o}
		}
	}
	if a.outstanding() || a.coming() && now.Before(t.since.Add(comingWait)) {
		return Decision{Verdict: Waiting}
	}
	return Decision{Verdict: a.refuse(now, u, t)}
}

// coming reports that a part will be worth another ask in a moment.
func (a *account) coming() bool {
	for i := range a.views {
		if a.views[i].moving || a.views[i].recalled {
			return true
		}
	}
	return false
}

func (a *account) outstanding() bool {
	for i := range a.views {
		if a.views[i].number != 0 {
			return true
		}
	}
	return false
}

// choose returns the part that most likely has a token, leaving out those
// that are known not to have one. The request is nil for an ask in advance.
func (a *account) choose(now thclock.Instant, u thconfig.Customer, t *Try) (int, bool) {
	best, found := 0, false
	for i := range PartCount(u) {
		v := &a.views[i]
		if v.number != 0 || now.Before(v.emptyTill) || now.Before(v.downTill) {
			continue
		}
		if t != nil && !v.refused.Before(t.since) {
			continue
		}
		if w := &a.views[best]; !found || v.level > w.level || v.level == w.level && v.used.Before(w.used) {
			best, found = i, true
		}
	}
	return best, found
}

// refuse ends a request for which no part is left to ask.
func (a *account) refuse(now thclock.Instant, u thconfig.Customer, t *Try) Verdict {
	a.leave(t)
	if u.Burst <= 0 {
		return OverLimit
	}
	for i := range PartCount(u) {
		if now.Before(a.views[i].downTill) {
			return Unreachable
		}
	}
	return OverLimit
}

func (s *Spender) ask(now thclock.Instant, l *Layout, u thconfig.Customer, a *account, i, need, advance int) *Outgoing {
	p := Part{u.Name, i}
	v := &a.views[i]
	v.asked = now
	home, ok := v.homeBy(l, p)
	if !ok {
		v.moved(now, nil)
		return nil
	}
	s.last++
	v.number, v.need, v.used = s.last, need, now
	return &Outgoing{
		Ask:   Ask{Part: p, Number: s.last, Need: need, Advance: advance, Reports: a.reports(now, u.Name, i)},
		Home:  home,
		Asked: now,
	}
}

// Answer takes a home's grant. A grant for anything but the ask on its way is
// of no effect: its tokens are never spent.
func (s *Spender) Answer(now thclock.Instant, p Part, g Grant) {
	v, a := s.pending(p, g.Number)
	if v == nil {
		return
	}
	v.number = 0
	v.moving = false
	v.level = g.Level
	if g.Tokens > 0 {
		life := fromMillis(g.LifeMillis)
		a.holdings = append(a.holdings, holding{
			part: p.Index, number: g.Number, left: g.Tokens, deadline: v.asked.Add(life), advance: life > needLife, tight: g.Tight,
		})
	}
	if g.Status == StatusNotHome {
		v.moved(now, g.Home)
		return
	}
	v.recalled = v.recalled && g.Tokens == 0
	if g.Recalled {
		v.recalled = true
		v.emptyTill = now.Add(recallTime)
		return
	}
	if g.Tokens < v.need || g.Tokens == 0 {
		v.refused = v.asked
		v.emptyTill = now.Add(fromMillis(g.WaitMillis))
	}
}

// homeBy returns which VM to ask for the part.
func (v *view) homeBy(l *Layout, p Part) (throster.VM, bool) {
	if v.layout != l.Roster().Version() {
		v.home, v.gone, v.layout = throster.VM{}, nil, l.Roster().Version()
	}
	if v.home.ID != "" {
		return v.home, true
	}
	return l.Home(p)
}

// moved follows a part that has been handed over, or is about to be.
func (v *view) moved(now thclock.Instant, to *throster.VM) {
	if to != nil && to.ID != v.home.ID {
		v.home = *to
		return
	}
	v.home = throster.VM{}
	v.moving = true
	v.downTill = now.Add(moveTime)
}

// lost turns from a VM that gave no answer to the one that it would have
// handed over to ahead of a planned stop.
func (v *view) lost(now thclock.Instant, l *Layout, p Part) {
	home, ok := v.homeBy(l, p)
	if !ok || len(v.gone) == maxGone {
		v.home, v.gone = throster.VM{}, nil
		v.fail(now)
		return
	}
	v.gone = append(v.gone, home.ID)
	r := l.Roster()
	for _, id := range v.gone {
		r = r.WithoutVM(id)
	}
	v.home, _ = NewLayout(r).Home(p)
}

func (v *view) fail(now thclock.Instant) {
	v.refused = v.asked
	v.downTill = now.Add(downTime)
}

// Failed takes note that an ask got no answer.
func (s *Spender) Failed(now thclock.Instant, l *Layout, p Part, number uint64) {
	if v, _ := s.pending(p, number); v != nil {
		v.number = 0
		v.lost(now, l, p)
	}
}

func (s *Spender) pending(p Part, number uint64) (*view, *account) {
	a := s.accounts[p.Customer]
	if a == nil || p.Index < 0 || p.Index >= Parts || number == 0 || a.views[p.Index].number != number {
		return nil, nil
	}
	return &a.views[p.Index], a
}

// reports tells what became of the part's lots, and forgets those that are
// spent. A report that gets lost costs tokens and never makes any: the home
// counts as spent what it has not heard of.
func (a *account) reports(now thclock.Instant, customer string, part int) []Report {
	var rs []Report
	for i := range a.holdings {
		h := &a.holdings[i]
		if h.part == part && h.advance {
			rs = append(rs, Report{Part: Part{customer, part}, Number: h.number, Spent: h.spent, Done: h.left == 0})
		}
	}
	a.drop(func(h holding) bool { return h.part == part && h.left == 0 || now.Passed(h.deadline) })
	return rs
}

func (a *account) drop(gone func(holding) bool) {
	kept := a.holdings[:0]
	for _, h := range a.holdings {
		if !gone(h) {
			kept = append(kept, h)
		}
	}
	a.holdings = kept
}

// Flush gives back what is not likely to be spent in time, and forgets the
// customers that send nothing any more.
func (s *Spender) Flush(now thclock.Instant, l *Layout) []Notice {
	var ns []Notice
	for name, a := range s.accounts {
		idle := now.Sub(a.used) > idleTime
		soon := now.Add(flushLead)
		ns = a.giveBack(ns, l, name, func(h holding) bool { return idle || soon.Passed(h.deadline) })
		a.drop(func(h holding) bool { return now.Passed(h.deadline) })
		if len(a.holdings) == 0 && a.waiting == 0 && !a.outstanding() && now.Sub(a.used) > forgetTime {
			delete(s.accounts, name)
		}
	}
	return ns
}

// Close gives back every token that is held, for a planned stop.
func (s *Spender) Close(l *Layout) []Notice {
	var ns []Notice
	for name, a := range s.accounts {
		ns = a.giveBack(ns, l, name, func(holding) bool { return true })
	}
	return ns
}

// Recall gives back what is held of a part in advance.
func (s *Spender) Recall(p Part) []Report {
	a := s.accounts[p.Customer]
	if a == nil {
		return nil
	}
	pick := func(h holding) bool { return h.part == p.Index && h.advance }
	var rs []Report
	for _, h := range a.holdings {
		if pick(h) {
			rs = append(rs, Report{Part: p, Number: h.number, Spent: h.spent, Done: true})
		}
	}
	a.drop(pick)
	return rs
}

// giveBack forgets the lots that the function picks and appends notices of
// those that have tokens left.
func (a *account) giveBack(ns []Notice, l *Layout, customer string, pick func(holding) bool) []Notice {
	for i := range a.holdings {
		h := &a.holdings[i]
		if h.left == 0 || !pick(*h) {
			continue
		}
		if n, ok := a.notice(l, customer, h); ok {
			ns = append(ns, n)
		}
	}
	a.drop(pick)
	return ns
}

// Customers returns how many customers are remembered.
func (s *Spender) Customers() int { return len(s.accounts) }
