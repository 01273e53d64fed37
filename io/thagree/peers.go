package thagree

import (
	"context"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"
)

// The calls between VMs.
const (
	pathExchange = "/agree/exchange"
	pathSnapshot = "/agree/snapshot"
)

// newsRecords is how many records a VM brings unasked.
const newsRecords = 4

// exchangeQuestion asks a peer what it knows and may bring it new records.
type exchangeQuestion struct {
	throster.Question
	Records []thconfig.Record `json:"records,omitempty"`
}

// exchangeAnswer carries the records that the asker lacks.
type exchangeAnswer struct {
	throster.Answer
	Records []thconfig.Record `json:"records,omitempty"`
	// TooOld says that the records do not reach back to the asker's version.
	TooOld bool `json:"tooOld,omitempty"`
}

type snapshotQuestion struct{}

// snapshotAnswer is all that a VM needs to begin with.
type snapshotAnswer struct {
	Config  thconfig.Config   `json:"config"`
	Rosters []throster.Roster `json:"rosters"`
}

// Register adds the calls that peers make.
func (a *Agreement) Register(s *thwire.Server) {
	thwire.Handle(s, pathExchange, a.exchange)
	thwire.Handle(s, pathSnapshot, a.snapshot)
}

func (a *Agreement) exchange(_ thwire.Sender, q exchangeQuestion) (exchangeAnswer, error) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if rs := q.Records; len(rs) > 0 && rs[0].Version <= a.records.Version()+1 && rs[len(rs)-1].Version > a.records.Version() {
		_ = a.takeRecords(rs)
	}
	out := exchangeAnswer{Answer: a.node.Answer(now, q.Question)}
	rs, ok := a.records.Since(q.Version)
	out.Records = rs[:min(len(rs), recordsAtOnce)]
	out.TooOld = !ok
	return out, nil
}

func (a *Agreement) snapshot(thwire.Sender, snapshotQuestion) (snapshotAnswer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.records.Version() == 0 {
		return snapshotAnswer{}, therror.New(therror.NotReady, "no configuration here yet")
	}
	return snapshotAnswer{Config: a.records.Config(), Rosters: a.node.Rosters()}, nil
}

// ask puts a question to a peer and takes in what it answers.
func (a *Agreement) ask(ctx context.Context, v throster.VM) {
	defer a.asked()
	_ = a.exchangeWith(ctx, v, nil)
}

// news returns the newest records, to be told to the peers; a.mu is held. One
// that lags further asks for the rest.
func (a *Agreement) news(peers []throster.VM) []thconfig.Record {
	if len(peers) == 0 {
		return nil
	}
	v := a.records.Version()
	rs, _ := a.records.Since(v - min(v, newsRecords))
	return rs
}

func (a *Agreement) asked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking--
}

// exchangeWith asks a peer, bringing it the records if there are any. Records
// make the question a brief one.
func (a *Agreement) exchangeWith(ctx context.Context, v throster.VM, records []thconfig.Record) error {
	a.mu.Lock()
	q := exchangeQuestion{Question: a.node.Ask(), Records: records}
	a.mu.Unlock()
	q.Brief = len(records) > 0
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := a.clock.Now()
	ans, err := thwire.Call[exchangeQuestion, exchangeAnswer](callCtx, a.client, v.PeerAddress, pathExchange, q)
	if err == nil && ans.TooOld {
		err = a.loadFromPeer(ctx, v.PeerAddress)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.schedule.Failed(v.ID)
		return err
	}
	a.schedule.Worked(v.ID)
	if len(ans.Records) > 0 {
		_ = a.takeRecords(ans.Records)
	}
	if a.node.Answered(sent, ans.Answer) {
		a.publish()
	}
	return nil
}

func (a *Agreement) loadFromPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s, err := thwire.Call[snapshotQuestion, snapshotAnswer](ctx, a.client, address, pathSnapshot, snapshotQuestion{})
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.takeSnapshot(s.Config, s.Rosters)
	return nil
}
