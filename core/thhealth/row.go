package thhealth

import (
	"cmp"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

// Row is what a VM knows of one target: its own tally and the newest of each
// other VM. The zero Row knows nothing.
type Row struct {
	own Tally
	// unsent is what was observed since the last cell was collected.
	unsent Counts
	peers  []peerTally
}

type peerTally struct {
	Report
	leaving bool
	// relays counts down how often the tally is passed on.
	relays uint8
}

const (
	// maxOrigins bounds the VMs whose tallies a row keeps.
	maxOrigins = 64
	relayTimes = 2
	// badWeight is how much more urgent news of bad attempts is.
	badWeight = 10
	// relayBad is how many bad attempts make a tally worth passing on.
	relayBad  = 0.5
	forgotten = 3 * longMemory
)

// Observe adds one attempt of this VM.
func (r *Row) Observe(now thclock.Instant, o Outcome, took time.Duration) {
	r.own = r.own.WithOutcome(now, o).WithWork(now, took)
	r.unsent = r.unsent.with(o)
}

// Own returns this VM's tally.
func (r *Row) Own() Tally { return r.own }

// Reset forgets all evidence, because the target was ejected for it.
func (r *Row) Reset() { *r = Row{} }

// Receive takes in another VM's tally unless a newer one is known.
func (r *Row) Receive(now thclock.Instant, c Cell) {
	at := now.Add(-c.Age)
	t := c.Tally
	t.At = at
	p := peerTally{Report: Report{Origin: c.Origin, Tally: t}, leaving: c.Leaving}
	if c.Leaving || t.Short.Bad()+t.Long.Bad() >= relayBad {
		p.relays = relayTimes
	}
	i := slices.IndexFunc(r.peers, func(o peerTally) bool { return o.Origin == c.Origin })
	switch {
	case i >= 0 && r.peers[i].Tally.At.Sub(at) > -ageStep:
		return
	case i >= 0:
		r.peers[i] = p
	case len(r.peers) < maxOrigins:
		r.peers = append(r.peers, p)
	default:
		r.peers[r.oldest()] = p
	}
}

func (r *Row) oldest() int {
	oldest := 0
	for i, p := range r.peers {
		if p.Tally.At.Before(r.peers[oldest].Tally.At) {
			oldest = i
		}
	}
	return oldest
}

// Sample returns the evidence faded to the present moment.
func (r *Row) Sample(now thclock.Instant) Sample {
	s := Sample{Own: r.own.Faded(now)}
	if len(r.peers) == 0 {
		return s
	}
	r.peers = slices.DeleteFunc(r.peers, func(p peerTally) bool { return now.Sub(p.Tally.At) > forgotten })
	s.Peers = make([]Report, len(r.peers))
	for i, p := range r.peers {
		s.Peers[i] = Report{Origin: p.Origin, Tally: p.Tally.Faded(now)}
	}
	return s
}

// Recent returns what all VMs saw in the last few seconds.
func (s Sample) Recent() Counts {
	sum := s.Own.Short
	for _, r := range s.Peers {
		sum = sum.Plus(r.Tally.Short)
	}
	return sum
}

// PeersBusy returns how many requests the other VMs have in flight at the
// target by their latest reports.
func (s Sample) PeersBusy() float64 {
	var busy float64
	for _, r := range s.Peers {
		busy += r.Tally.Busy()
	}
	return busy
}

// SaidLeaving reports whether another VM has lately heard from the target
// itself that it is leaving.
func (r *Row) SaidLeaving(now thclock.Instant) bool {
	return slices.ContainsFunc(r.peers, func(p peerTally) bool { return p.leaving && now.Sub(p.Tally.At) < maxAge })
}

// Entry is a row with the names it has in cells.
type Entry struct {
	Row *Row
	Key uint32
	// Leaving is whether the target told this VM that it is leaving.
	Leaving bool
}

// pick is a cell that may be sent, with its urgency.
type pick struct {
	cell   Cell
	weight float64
	taken  func()
}

// Collect returns the most urgent cells to send, at most the given number:
// bad news first, this VM's own before that of others.
func Collect(now thclock.Instant, origin uint32, entries []Entry, most int) []Cell {
	var picks []pick
	for _, e := range entries {
		picks = e.Row.offer(picks, now, origin, e)
	}
	slices.SortStableFunc(picks, func(a, b pick) int { return cmp.Compare(b.weight, a.weight) })
	picks = picks[:min(len(picks), most)]
	cells := make([]Cell, len(picks))
	for i, p := range picks {
		cells[i] = p.cell
		p.taken()
	}
	return cells
}

func (r *Row) offer(picks []pick, now thclock.Instant, origin uint32, e Entry) []pick {
	if w := r.unsent.Requests + badWeight*r.unsent.Bad(); w > 0 || e.Leaving {
		if e.Leaving {
			w += badWeight
		}
		c := Cell{Target: e.Key, Origin: origin, Leaving: e.Leaving, Tally: r.own.Faded(now)}
		picks = append(picks, pick{c, w, func() { r.unsent = Counts{} }})
	}
	for i := range r.peers {
		p := &r.peers[i]
		age := now.Sub(p.Tally.At)
		if p.relays == 0 || age > maxAge {
			continue
		}
		c := Cell{Target: e.Key, Origin: p.Origin, Age: age, Leaving: p.leaving, Tally: p.Tally}
		picks = append(picks, pick{c, p.Tally.Short.Bad() + relayBad, func() { p.relays-- }})
	}
	return picks
}
