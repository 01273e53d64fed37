package thburns

import (
	"context"
	"math"
	"strconv"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"

	"golang.org/x/sync/errgroup"
)

const (
	pathMerge  = "/burn/merge"
	pathReport = "/burn/report"

	// parallelCalls bounds the calls under way at once.
	parallelCalls = 16
)

// batches are the deltas for all parts that one VM is the home of.
type batches struct {
	Batches []thburn.Batch `json:"batches"`
}

type merged struct {
	// Acknowledgements are in the order of the batches. One that the VM did not
	// take is zero.
	Acknowledgements []thburn.Acknowledgement `json:"acknowledgements"`
}

type reportQuestion struct {
	Query thburn.Query `json:"query"`
	Parts []int        `json:"parts"`
}

// Register adds the calls by which VMs bring each other counts and ask for
// reports.
func (b *Burns) Register(s *thwire.Server) {
	thwire.Handle(s, pathMerge, func(_ thwire.Sender, q batches) (merged, error) { return b.merge(q), nil })
	thwire.Handle(s, pathHandOver, b.takeOver)
	thwire.Handle(s, pathReport, func(_ thwire.Sender, q reportQuestion) (thburn.Report, error) {
		return b.reportParts(q), nil
	})
}

func (b *Burns) merge(q batches) merged {
	now := b.o.Clock.Now()
	m := merged{Acknowledgements: make([]thburn.Acknowledgement, len(q.Batches))}
	for i, batch := range q.Batches {
		p, ok := b.part(batch.Part)
		if !ok {
			continue
		}
		p.mu.Lock()
		if p.loaded {
			m.Acknowledgements[i] = p.ledger.Merge(now, batch)
		}
		p.mu.Unlock()
	}
	return m
}

// send brings the counts since the last time, and those that a home has not
// taken yet, to the homes: one call for each VM.
func (b *Burns) send(ctx context.Context, now thclock.Instant) {
	collected := b.recorder.collect()
	b.mu.Lock()
	for part, entries := range collected {
		b.outboxes[part].Add(thburn.MinuteOf(now), entries)
	}
	b.bound()
	byHome := make(map[throster.VM][]thburn.Batch)
	for i := range b.outboxes {
		home := b.homes[i]
		if home.ID == "" {
			continue
		}
		if deltas := b.outboxes[i].Pending(sourceName(home)); len(deltas) > 0 {
			byHome[home] = append(byHome[home], thburn.Batch{Source: b.source, Part: i, Deltas: deltas})
		}
	}
	b.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for home, all := range byHome {
		g.Go(func() error {
			b.sendTo(ctx, home, all)
			return nil
		})
	}
	_ = g.Wait() // the functions above never fail
}

// bound lets go of the oldest minutes while too much is held; mu is locked.
func (b *Burns) bound() {
	for {
		held := 0
		oldest := int64(math.MaxInt64)
		for i := range b.outboxes {
			held += b.outboxes[i].Held()
			if m, ok := b.outboxes[i].Oldest(); ok {
				oldest = min(oldest, m)
			}
		}
		if held <= maxHeld {
			return
		}
		for i := range b.outboxes {
			b.outboxes[i].DropBefore(oldest + 1)
		}
	}
}

// sourceName tells a VM from the one that it replaced.
func sourceName(v throster.VM) string { return v.ID + "/" + strconv.FormatUint(v.Incarnation, 10) }

func (b *Burns) sendTo(ctx context.Context, home throster.VM, all []thburn.Batch) {
	m, err := b.callMerge(ctx, home, batches{all})
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || len(m.Acknowledgements) != len(all) {
		b.stats.Failed++
		return
	}
	b.stats.Sent++
	for i, batch := range all {
		b.outboxes[batch.Part].Acknowledge(sourceName(home), m.Acknowledgements[i])
		for _, d := range batch.Deltas {
			b.stats.SentEntries += uint64(len(d.Entries))
		}
	}
}

func (b *Burns) callMerge(ctx context.Context, home throster.VM, q batches) (merged, error) {
	if home.ID == b.o.Self.ID {
		return b.merge(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return thwire.Call[batches, merged](ctx, b.o.Client, home.PeerAddress, pathMerge, q)
}

// Report returns the report over all VMs. Parts whose homes do not answer are
// listed as missing.
func (b *Burns) Report(ctx context.Context, q thburn.Query) thburn.Report {
	b.send(ctx, b.o.Clock.Now())
	byHome := make(map[throster.VM][]int)
	b.mu.Lock()
	for i, home := range b.homes {
		if q.Customer == "" || thburn.PartOf(q.Customer) == i {
			byHome[home] = append(byHome[home], i)
		}
	}
	b.mu.Unlock()
	answers := make(chan thburn.Report, len(byHome))
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for home, parts := range byHome {
		g.Go(func() error {
			answers <- b.askReport(ctx, home, reportQuestion{q, parts})
			return nil
		})
	}
	_ = g.Wait() // the functions above never fail
	close(answers)
	var all []thburn.Report
	for r := range answers {
		all = append(all, r)
	}
	return thburn.Merged(q, all)
}

func (b *Burns) askReport(ctx context.Context, home throster.VM, q reportQuestion) thburn.Report {
	if home.ID == b.o.Self.ID {
		return b.reportParts(q)
	}
	if home.ID == "" {
		return thburn.Report{Missing: q.Parts}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := thwire.Call[reportQuestion, thburn.Report](ctx, b.o.Client, home.PeerAddress, pathReport, q)
	if err != nil {
		return thburn.Report{Missing: q.Parts}
	}
	return r
}

// reportParts returns this VM's report on parts that it is the home of.
func (b *Burns) reportParts(q reportQuestion) thburn.Report {
	now := b.o.Clock.Now()
	config := b.o.Config()
	var all []thburn.Report
	for _, i := range q.Parts {
		p, ok := b.part(i)
		if !ok {
			all = append(all, thburn.Report{Missing: []int{i}})
			continue
		}
		p.mu.Lock()
		if p.loaded {
			all = append(all, p.ledger.Report(now, q.Query, objectivesOf(config)))
		} else {
			all = append(all, thburn.Report{Missing: []int{i}})
		}
		p.mu.Unlock()
	}
	return thburn.Merged(q.Query, all)
}

func objectivesOf(c thconfig.Config) thburn.Objectives {
	return func(service string) thconfig.Objective {
		s, _ := c.Service(service)
		return s.Objective
	}
}
