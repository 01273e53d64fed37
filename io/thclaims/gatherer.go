package thclaims

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thwire"
)

const (
	writePath = "/claims/write"
	// gatherTimeout bounds the wait for a home, and answerWithin, which is
	// shorter, the home's own wait for the store.
	gatherTimeout = 500 * time.Millisecond
	answerWithin  = 400 * time.Millisecond
	// avoidFor is how long a home that did not answer is left alone.
	avoidFor = 5 * time.Second
)

// Row is one write that is sent to a home.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Rows is a message to a home.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Outcome is what became of one row.
type Outcome struct {
	// Kind is the name of an error kind, empty if the row was written.
	Kind string `json:"kind,omitempty"`
	// Found is the row as it stands, if it did not stand at the version.
	Found *thstore.Row `json:"found,omitempty"`
}

// Outcomes is a home's answer, in the order of the rows.
type Outcomes struct {
	Outcomes []Outcome `json:"outcomes"`
}

// Peers carries writes to other VMs. It fails with ConnectFailed if the other
// VM did not get them.
type Peers interface {
	Write(ctx context.Context, v throster.VM, rows Rows) (Outcomes, error)
}

// NewPeers returns peers that are called through the client.
func NewPeers(c *thwire.Client) Peers { return wirePeers{c} }

type wirePeers struct{ client *thwire.Client }

func (p wirePeers) Write(ctx context.Context, v throster.VM, rows Rows) (Outcomes, error) {
	return thwire.Call[Rows, Outcomes](ctx, p.client, v.PeerAddress, writePath, rows)
}

// Register adds the calls that peers make.
func (c *Claims) Register(s *thwire.Server) {
	thwire.Handle(s, writePath, func(_ thwire.Sender, rows Rows) (Outcomes, error) {
		return c.Receive(rows), nil
	})
}

// Receive writes rows for another VM together with those of others, and
// returns soon even if the store does not.
func (c *Claims) Receive(rows Rows) Outcomes {
	outcomes := make([]Outcome, len(rows.Rows))
	errs := make([]chan error, len(rows.Rows))
	until := c.options.Clock.Now().Add(answerWithin)
	for i, r := range rows.Rows {
		errs[i] = make(chan error, 1)
		go func() { errs[i] <- c.store.write(r.Key, r.Version, r.Value, until) }()
	}
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	late := false
	for i, ch := range errs {
		if late {
			outcomes[i].Kind = therror.StoreOutcomeUnknown.String()
			continue
		}
		select {
		case err := <-ch:
			outcomes[i] = newOutcome(err)
		case <-t.C:
			late = true
			outcomes[i].Kind = therror.StoreOutcomeUnknown.String()
		}
	}
	return Outcomes{Outcomes: outcomes}
}

func newOutcome(err error) Outcome {
	if err == nil {
		return Outcome{}
	}
	o := Outcome{Kind: therror.KindOf(err).String()}
	var c *conflict
	if errors.As(err, &c) {
		o.Found = &c.found
	}
	return o
}

// gatherer writes rows directly, or through the home of their keys when the
// fleet writes much. What a home does is no more than to write several VMs'
// rows in one transaction, so which VM is taken for the home, and whether it
// is, makes no difference to what is written.
type gatherer struct {
	claims *Claims
	mu     sync.Mutex
	rate   thclaim.Rate
	// remote has one writer for each home by its name.
	remote map[string]*writer
	avoid  map[string]thclock.Instant
}

func (g *gatherer) write(key string, version uint64, value []byte, until thclock.Instant) error {
	w, gathered := g.choose(key)
	if !gathered {
		return g.claims.store.write(key, version, value, until)
	}
	err := w.write(key, version, value, until)
	if therror.Is(err, therror.ConnectFailed) {
		return g.claims.store.write(key, version, value, until)
	}
	return err
}

// choose returns the writer to the home, if the row is to be gathered.
func (g *gatherer) choose(key string) (*writer, bool) {
	o := g.claims.options
	if o.Peers == nil || o.Roster == nil {
		return nil, false
	}
	now := o.Clock.Now()
	roster := o.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate = g.rate.WithWrite(now)
	name := thclaim.Home(key)
	home, ok := roster.Home(name)
	if !ok || home.ID == o.Self.ID || !g.rate.Gather(now, roster.Len()) || now.Before(g.avoid[home.ID]) {
		return nil, false
	}
	if g.remote == nil {
		g.remote = make(map[string]*writer)
		g.avoid = make(map[string]thclock.Instant)
	}
	w := g.remote[name]
	if w == nil {
		w = &writer{clock: o.Clock, commit: func(batch []*operation) { g.send(name, batch) }}
		g.remote[name] = w
	}
	return w, true
}

// send writes a batch through the home.
func (g *gatherer) send(name string, batch []*operation) {
	home, _ := g.claims.options.Roster().Home(name)
	rows := Rows{Rows: make([]Row, len(batch))}
	for i, o := range batch {
		rows.Rows[i] = Row{Key: o.key, Version: o.version, Value: o.value}
	}
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
	defer cancel()
	outcomes, err := g.claims.options.Peers.Write(ctx, home, rows)
	if err == nil && len(outcomes.Outcomes) != len(batch) {
		err = therror.New(therror.AnswerBroken, "%d outcomes for %d rows", len(outcomes.Outcomes), len(batch))
	}
	if err != nil {
		g.lost(home, batch, err)
		return
	}
	for i, o := range batch {
		o.done <- outcomes.Outcomes[i].err()
	}
}

// lost tells a batch that its home did not answer.
func (g *gatherer) lost(home throster.VM, batch []*operation, err error) {
	now := g.claims.options.Clock.Now()
	g.mu.Lock()
	for id, until := range g.avoid {
		if !now.Before(until) {
			delete(g.avoid, id)
		}
	}
	g.avoid[home.ID] = now.Add(avoidFor)
	g.mu.Unlock()
	if !therror.Is(err, therror.ConnectFailed) {
		err = therror.Wrap(therror.StoreOutcomeUnknown, err, "the home may have written")
	}
	for _, o := range batch {
		o.done <- err
	}
}

// err returns the outcome as an error, nil if the row was written.
func (o Outcome) err() error {
	if o.Kind == "" {
		return nil
	}
	k, ok := therror.KindNamed(o.Kind)
	switch {
	case !ok:
		k = therror.StoreOutcomeUnknown
	case k == therror.ChangeConflict && o.Found != nil:
		return newConflict(*o.Found)
	}
	return therror.New(k, "at the home")
}
