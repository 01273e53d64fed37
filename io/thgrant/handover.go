package thgrant

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"
)

const (
	pathPull  = "/limit/pull"
	pathOffer = "/limit/offer"
	// pullParts bounds the parts in one call.
	pullParts = 256
	// handOverWorkers bounds the VMs that take over at the same time.
	handOverWorkers = 16
	// offerTimeout bounds one call that offers parts, and the pull within it.
	offerTimeout = 2 * time.Second
	// handOverRounds is how many next homes are tried.
	handOverRounds = 4
	// pullDepth is how many former homes of a part are tried in turn.
	pullDepth = 4
	// pullInterval is how long a VM that has joined waits between pulls.
	pullInterval = 100 * time.Millisecond
)

// pullCall asks for parts on behalf of a VM.
type pullCall struct {
	thlimit.Pull
	To throster.VM `json:"to"`
}

// pullAnswer hands parts over.
type pullAnswer struct {
	Estates []thlimit.Estate `json:"estates"`
}

// offerCall tells a VM to pull parts from the one that offers them.
type offerCall struct {
	From  throster.VM    `json:"from"`
	Parts []thlimit.Part `json:"parts"`
}

// offerAnswer says how many of the parts were taken over.
type offerAnswer struct {
	Taken int `json:"taken"`
}

// takePull hands parts over to their next home.
func (m *Limiter) takePull(from thwire.Sender, c pullCall) (pullAnswer, error) {
	m.adopt()
	now := m.o.Clock.Now()
	if err := m.o.CheckFresh(); err != nil {
		return pullAnswer{}, err
	}
	if from.ID != c.To.ID || from.Incarnation != c.To.Incarnation {
		return pullAnswer{}, therror.New(therror.MessageMalformed, "VM %s pulls for VM %s", from.ID, c.To.ID)
	}
	a := pullAnswer{}
	for i, parts := range byShard(c.Parts) {
		q := thlimit.Pull{Roster: c.Roster, Parts: parts}
		a.Estates = append(a.Estates, m.homes[i].yield(now, c.To, q)...)
	}
	m.count.yielded.Add(uint64(len(a.Estates)))
	return a, nil
}

// takeOffer pulls the offered parts at once.
func (m *Limiter) takeOffer(_ thwire.Sender, c offerCall) (offerAnswer, error) {
	m.adopt()
	if err := m.o.CheckFresh(); err != nil {
		return offerAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	n, err := m.pull(ctx, c.From, c.Parts)
	return offerAnswer{n}, err
}

// pull takes parts over from the VM that acts for them.
func (m *Limiter) pull(ctx context.Context, from throster.VM, parts []thlimit.Part) (int, error) {
	if !m.homes[0].accepted() {
		return 0, therror.New(therror.MessageStale, "the newest roster is not known to be accepted")
	}
	numbers := make(map[int]uint64)
	asked := make(map[thlimit.Part]bool, len(parts))
	for _, p := range parts {
		asked[p] = true
		i := shardOf(p.Customer)
		if numbers[i] == 0 {
			numbers[i] = m.homes[i].startPull(m.o.Clock.Now())
		}
	}
	q := pullCall{thlimit.Pull{Roster: m.layout.Load().Roster().Version(), Parts: parts}, m.o.Self}
	a, err := thwire.Call[pullCall, pullAnswer](ctx, m.o.Client, from.PeerAddress, pathPull, q)
	if err != nil {
		return 0, err
	}
	shares := make(map[int][]thlimit.Estate)
	for _, e := range a.Estates {
		if asked[e.Part] {
			i := shardOf(e.Part.Customer)
			shares[i] = append(shares[i], e)
		}
	}
	n := 0
	for i, es := range shares {
		n += m.homes[i].inherit(m.o.Clock.Now(), numbers[i], es)
	}
	m.count.inherited.Add(uint64(n))
	return n, nil
}

func byShard(ps []thlimit.Part) map[int][]thlimit.Part {
	shares := make(map[int][]thlimit.Part)
	for _, p := range ps {
		i := shardOf(p.Customer)
		shares[i] = append(shares[i], p)
	}
	return shares
}

// pullGained takes over the parts that this VM has become home to by joining.
// It tries again while the former homes are still taking over themselves.
func (m *Limiter) pullGained() {
	ctx, cancel := context.WithTimeout(context.Background(), thlimit.TakeoverWait(m.o.FreshFor))
	defer cancel()
	m.count.joining.Add(1)
	defer m.count.joining.Add(-1)
	for i := 0; m.pullOnce(ctx, i%pullDepth) > 0 && ctx.Err() == nil; i++ {
		t := time.NewTimer(pullInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// pullOnce returns how many parts were lacking.
func (m *Limiter) pullOnce(ctx context.Context, before int) int {
	ms := make([]thlimit.Move, 0, shards)
	now := m.o.Clock.Now()
	for i, us := range m.customers() {
		ms = append(ms, m.homes[i].gained(now, us, before)...)
	}
	_ = eachVM(ctx, ms, func(ctx context.Context, v throster.VM, parts []thlimit.Part) error {
		limited, cancel := context.WithTimeout(ctx, thlimit.PullFor)
		defer cancel()
		_, err := m.pull(limited, v, parts)
		return err
	})
	return len(ms)
}

// lose makes the parts ready that the newest roster gives to other VMs.
func (m *Limiter) lose() {
	now := m.o.Clock.Now()
	for i, us := range m.customers() {
		m.homes[i].lose(now, us)
	}
}

// offerMoving offers the parts that a newer roster gives to other VMs.
func (m *Limiter) offerMoving(now thclock.Instant) {
	ms := make([]thlimit.Move, 0, shards)
	for i := range m.homes {
		ms = append(ms, m.homes[i].moving(now)...)
	}
	if len(ms) == 0 || !m.offering.CompareAndSwap(false, true) {
		return
	}
	m.background(func() {
		defer m.offering.Store(false)
		_ = eachVM(context.Background(), ms, m.offer)
	})
}

func (m *Limiter) offer(ctx context.Context, v throster.VM, parts []thlimit.Part) error {
	limited, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	_, err := thwire.Call[offerCall, offerAnswer](limited, m.o.Client, v.PeerAddress, pathOffer, offerCall{m.o.Self, parts})
	return err
}

// handOver offers every part that this VM is home to to its next home, and
// those that one does not take to the one after.
func (m *Limiter) handOver(ctx context.Context) error {
	var gone absent
	for range handOverRounds {
		ms := make([]thlimit.Move, 0, shards)
		for i, us := range m.customers() {
			ms = append(ms, m.homes[i].retire(us, gone.ids)...)
		}
		err := eachVM(ctx, ms, func(ctx context.Context, v throster.VM, parts []thlimit.Part) error {
			err := m.offer(ctx, v, parts)
			if err != nil {
				gone.add(v.ID)
			}
			return err
		})
		if err == nil {
			return nil
		}
	}
	return therror.New(therror.LimitUnavailable, "some parts of limits found no VM to take them over")
}

// absent collects VMs that do not answer.
type absent struct {
	mu  sync.Mutex
	ids []string
}

func (a *absent) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids = append(a.ids, id)
}

// customers returns all customers by shard.
func (m *Limiter) customers() [shards][]thconfig.Customer {
	var shares [shards][]thconfig.Customer
	for _, u := range m.o.Config().Customers() {
		i := shardOf(u.Name)
		shares[i] = append(shares[i], u)
	}
	return shares
}

// eachVM calls the function with the parts of each VM, some at a time.
func eachVM(ctx context.Context, ms []thlimit.Move, f func(context.Context, throster.VM, []thlimit.Part) error) error {
	byVM := make(map[throster.VM][]thlimit.Part)
	for _, m := range ms {
		byVM[m.VM] = append(byVM[m.VM], m.Part)
	}
	var g errgroup.Group
	g.SetLimit(handOverWorkers)
	for v, parts := range byVM {
		for len(parts) > 0 {
			n := min(len(parts), pullParts)
			chunk := parts[:n]
			parts = parts[n:]
			g.Go(func() error { return f(ctx, v, chunk) })
		}
	}
	return g.Wait()
}
