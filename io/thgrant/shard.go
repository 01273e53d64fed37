package thgrant

import (
	"sync"
	"sync/atomic"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// spendShard is the spender's side of some customers.
type spendShard struct {
	mu       sync.Mutex
	spender  thlimit.Spender
	answered map[string]chan struct{}
	// mentioned is when a customer was last logged as out of reach.
	mentioned map[string]thclock.Instant
}

// mention reports whether the customer is to be logged as out of reach again.
func (s *spendShard) mention(now thclock.Instant, customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.mentioned[customer]; ok && now.Before(at.Add(mentionInterval)) {
		return false
	}
	if s.mentioned == nil {
		s.mentioned = make(map[string]thclock.Instant)
	}
	s.mentioned[customer] = now
	return true
}

// admit decides on a request and, if it has to wait, returns the channel that
// the next answer closes.
func (s *spendShard) admit(c thclock.Clock, l *thlimit.Layout, u thconfig.Customer, t *thlimit.Try) (thlimit.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.spender.Admit(c.Now(), l, u, t)
	if d.Verdict != thlimit.Asking && d.Verdict != thlimit.Waiting {
		return d, nil
	}
	ch := s.answered[u.Name]
	if ch == nil {
		if s.answered == nil {
			s.answered = make(map[string]chan struct{})
		}
		ch = make(chan struct{})
		s.answered[u.Name] = ch
	}
	return d, ch
}

func (s *spendShard) abandon(customer string, t *thlimit.Try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spender.Abandon(customer, t)
}

func (s *spendShard) answer(now thclock.Instant, p thlimit.Part, g thlimit.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spender.Answer(now, p, g)
	s.wake(p.Customer)
}

func (s *spendShard) failed(now thclock.Instant, l *thlimit.Layout, p thlimit.Part, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spender.Failed(now, l, p, number)
	s.wake(p.Customer)
}

func (s *spendShard) wake(customer string) {
	if ch, ok := s.answered[customer]; ok {
		close(ch)
		delete(s.answered, customer)
	}
}

func (s *spendShard) flush(now thclock.Instant, l *thlimit.Layout) []thlimit.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	for customer, at := range s.mentioned {
		if !now.Before(at.Add(mentionInterval)) {
			delete(s.mentioned, customer)
		}
	}
	return s.spender.Flush(now, l)
}

func (s *spendShard) recall(p thlimit.Part) []thlimit.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spender.Recall(p)
}

func (s *spendShard) close(l *thlimit.Layout) []thlimit.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spender.Close(l)
}

func (s *spendShard) customers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spender.Customers()
}

// homeShard is the home's side of some customers.
type homeShard struct {
	mu   sync.Mutex
	home *thlimit.Home
}

func (h *homeShard) ask(now thclock.Instant, from throster.VM, a thlimit.Ask) (thlimit.Grant, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Ask(now, from, a)
}

func (h *homeShard) report(now thclock.Instant, from throster.VM, rs []thlimit.Report) []thlimit.Notice {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Report(now, from, rs)
}

func (h *homeShard) adopt(now thclock.Instant, l *thlimit.Layout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Adopt(now, l)
}

func (h *homeShard) configure(now thclock.Instant, c thconfig.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Configure(now, c)
}

func (h *homeShard) yield(now thclock.Instant, to throster.VM, q thlimit.Pull) []thlimit.Estate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Yield(now, to, q)
}

func (h *homeShard) startPull(now thclock.Instant) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.StartPull(now)
}

func (h *homeShard) inherit(now thclock.Instant, pull uint64, es []thlimit.Estate) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Inherit(now, pull, es)
}

func (h *homeShard) accept(now thclock.Instant, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.home.Accepted()
	h.home.Accept(now, version)
	return h.home.Accepted() && !before
}

func (h *homeShard) accepted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Accepted()
}

func (h *homeShard) confirm(now thclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Confirm(now)
}

func (h *homeShard) gained(now thclock.Instant, us []thconfig.Customer, before int) []thlimit.Move {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Gained(now, us, before)
}

func (h *homeShard) lose(now thclock.Instant, us []thconfig.Customer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Lose(now, us)
}

func (h *homeShard) moving(now thclock.Instant) []thlimit.Move {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Moving(now)
}

func (h *homeShard) retire(us []thconfig.Customer, gone []string) []thlimit.Move {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Retire(us, gone...)
}

func (h *homeShard) prune(now thclock.Instant) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Prune(now)
}

func (h *homeShard) parts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Parts()
}

// counters count since the start of the process.
type counters struct {
	admitted    atomic.Uint64
	overLimit   atomic.Uint64
	unavailable atomic.Uint64
	asks        atomic.Uint64
	asksFailed  atomic.Uint64
	grants      atomic.Uint64
	reports     atomic.Uint64
	yielded     atomic.Uint64
	inherited   atomic.Uint64
	joining     atomic.Int64
	follows     atomic.Uint64
}

// Stats are a limiter's counters and sizes.
type Stats struct {
	Admitted    uint64 `json:"admitted"`
	OverLimit   uint64 `json:"overLimit"`
	Unavailable uint64 `json:"unavailable"`
	// Asks and AsksFailed count this VM's calls as spender.
	Asks       uint64 `json:"asks"`
	AsksFailed uint64 `json:"asksFailed"`
	// Grants counts the asks that this VM answered as home.
	Grants uint64 `json:"grants"`
	// Reports counts the lots that this VM has told homes about on their own.
	Reports uint64 `json:"reports"`
	// Roster is the version of the roster that the limiter goes by.
	Roster uint64 `json:"roster"`
	// Follows counts the looks at freshness and roster.
	Follows uint64 `json:"follows"`
	// Yielded and Inherited count the parts that were handed over.
	Yielded   uint64 `json:"yielded"`
	Inherited uint64 `json:"inherited"`
	// Joining says that parts are still being taken over from former homes.
	Joining bool `json:"joining"`
	// Customers and Parts are what is remembered as spender and as home.
	Customers int `json:"customers"`
	Parts     int `json:"parts"`
}

// Stats returns the counters and sizes of the present moment.
func (m *Limiter) Stats() Stats {
	s := Stats{
		Admitted:    m.count.admitted.Load(),
		OverLimit:   m.count.overLimit.Load(),
		Unavailable: m.count.unavailable.Load(),
		Asks:        m.count.asks.Load(),
		AsksFailed:  m.count.asksFailed.Load(),
		Grants:      m.count.grants.Load(),
		Reports:     m.count.reports.Load(),
		Roster:      m.layout.Load().Roster().Version(),
		Joining:     m.count.joining.Load() > 0,
		Follows:     m.count.follows.Load(),
		Yielded:     m.count.yielded.Load(),
		Inherited:   m.count.inherited.Load(),
	}
	for i := range m.spends {
		s.Customers += m.spends[i].customers()
		s.Parts += m.homes[i].parts()
	}
	return s
}
