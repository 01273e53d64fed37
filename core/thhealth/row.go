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
	suspect bool
	ejected bool
	// relays counts down how often the tally is passed on.
	relays uint8
}

const (
	// maxOrigins bounds the VMs whose tallies a row keeps.
	maxOrigins = 64
	relayTimes = 3
	// badWeight is how much more urgent news of bad attempts is.
	badWeight = 10
	// suspectWeight puts all news of suspect targets first.
	suspectWeight = 1000
	// suspectFor is how long a VM that suspects a target is told more of it.
	suspectFor = 5 * time.Second
	// relayAge is the age beyond which a tally is not passed on.
	relayAge = 4 * time.Second
	// voteAge is the age beyond which another VM's ejection does not count.
	voteAge   = 5 * time.Second
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
	p := peerTally{Report: Report{Origin: c.Origin, Tally: t, Rest: c.Rest}, leaving: c.Leaving, suspect: c.Suspect, ejected: c.Ejected, relays: relayTimes}
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
	for i := range r.peers {
		p := &r.peers[i]
		if now.Sub(p.Tally.At) < voteAge {
			s.Voters++
			if p.ejected {
				s.Votes++
			}
		}
		s.Peers[i] = p.faded(now)
	}
	return s
}

func (r Report) faded(now thclock.Instant) Report {
	d := now.Sub(r.Tally.At)
	if d <= 0 {
		return r
	}
	short, long := fade(d, shortMemory), fade(d, longMemory)
	r.Tally = r.Tally.scaled(short, long)
	r.Tally.At = now
	r.Rest = Rest{Short: r.Rest.Short.scaled(short), Long: r.Rest.Long.scaled(long)}
	return r
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
	// Suspect is whether this VM needs to know more of the target.
	Suspect bool
	// Ejected is whether this VM has lately ejected the target, on more
	// evidence than its own.
	Ejected bool
	// Rest is what this VM saw of the service's other targets.
	Rest Rest
}

// wanted is whether this or another VM needs to know more of the target.
func (e Entry) wanted(now thclock.Instant) bool {
	return e.Suspect || e.Ejected || e.Leaving || slices.ContainsFunc(e.Row.peers, func(p peerTally) bool {
		return (p.suspect || p.ejected || p.leaving) && now.Sub(p.Tally.At) < suspectFor
	})
}

// Urgent reports whether there is news that others should have at once.
func Urgent(now thclock.Instant, entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool {
		return e.wanted(now) && (e.Row.unsent.Requests > 0 || slices.ContainsFunc(e.Row.peers, func(p peerTally) bool { return p.relayable(now) }))
	})
}

func (p peerTally) relayable(now thclock.Instant) bool {
	return p.relays > 0 && now.Sub(p.Tally.At) < relayAge
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
	wanted := e.wanted(now)
	if w := r.unsent.Requests + badWeight*r.unsent.Bad(); w > 0 || e.Leaving || e.Suspect || e.Ejected {
		if wanted {
			w += 2 * suspectWeight
		}
		c := Cell{Target: e.Key, Origin: origin, Leaving: e.Leaving, Suspect: e.Suspect, Ejected: e.Ejected, Tally: r.own.Faded(now), Rest: e.Rest}
		picks = append(picks, pick{c, w, func() { r.unsent = Counts{} }})
	}
	if !wanted {
		return picks
	}
	for i := range r.peers {
		p := &r.peers[i]
		if !p.relayable(now) {
			continue
		}
		age := now.Sub(p.Tally.At)
		c := Cell{Target: e.Key, Origin: p.Origin, Age: age, Leaving: p.leaving, Suspect: p.suspect, Ejected: p.ejected, Tally: p.Tally, Rest: p.Rest}
		w := suspectWeight*(2-float64(age)/float64(relayAge)) + p.Tally.Short.Bad()
		picks = append(picks, pick{c, w, func() { p.relays-- }})
	}
	return picks
}
