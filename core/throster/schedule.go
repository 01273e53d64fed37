package throster

import (
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// askEvery is how often a VM asks a peer. Knowledge of half the fleet
	// takes about log2 of its size in such steps.
	askEvery = 300 * time.Millisecond
	// urgentEvery is how often a VM asks that has less than urgentLeft of its
	// freshness left.
	urgentEvery = 100 * time.Millisecond
	urgentLeft  = time.Second
	// headEvery is how often a VM of a small fleet reads the store's head, and
	// headShare is what each VM of a large one adds to that, so that the fleet
	// makes at most one read in headShare.
	headEvery = time.Second
	headShare = 5 * time.Millisecond
	// claimAsks is how many peers a restarted VM asks at once.
	claimAsks = 8
	// spreadTo is how many peers a VM brings a new version to.
	spreadTo = 3
	// silentAfter is how long a VM has not been heard of, by anybody, before
	// it is seldom asked; rarely is how seldom: one time in so many.
	silentAfter = FreshFor
	rarely      = 8
)

// Schedule decides whom to ask when. The zero Schedule asks at once.
type Schedule struct {
	nextAsk  thclock.Instant
	nextHead thclock.Instant
	spread   uint64
	failed   map[string]bool
}

// Duties is what is due now.
type Duties struct {
	Ask      []VM
	ReadHead bool
	// Tell are the peers to bring the newest version to.
	Tell []VM
}

// Due returns what is due and sets when it is due again.
func (s *Schedule) Due(now thclock.Instant, rng *rand.Rand, n *Node) Duties {
	var d Duties
	if now.Passed(s.nextHead) {
		s.nextHead = now.Add(jittered(rng, headInterval(n.Roster().Len())))
		d.ReadHead = true
	}
	if now.Passed(s.nextAsk) {
		s.nextAsk = now.Add(jittered(rng, askInterval(now, n)))
		d.Ask = s.peers(now, rng, n, askedAtOnce(n))
	}
	if n.version > s.spread {
		s.spread = n.version
		d.Tell = s.peers(now, rng, n, spreadTo)
	}
	return d
}

// Failed records that a call to the peer failed.
func (s *Schedule) Failed(id string) {
	if s.failed == nil {
		s.failed = make(map[string]bool)
	}
	s.failed[id] = true
}

// Worked records that a call to the peer succeeded.
func (s *Schedule) Worked(id string) { delete(s.failed, id) }

// peers draws peers, and those that are likely gone or cut off only rarely.
func (s *Schedule) peers(now thclock.Instant, rng *rand.Rand, n *Node, want int) []VM {
	var out []VM
	vs := n.Roster().VMs()
	for range want * rarely {
		if len(out) == want || len(vs) == 0 {
			break
		}
		i := rng.IntN(len(vs))
		if vs[i].ID == n.self.ID || n.Claiming() && n.confirmed[vs[i].ID] {
			continue
		}
		doubtful := s.failed[vs[i].ID] || elapsed(now, n.seats[i].heard) > silentAfter
		if doubtful && rng.IntN(rarely) > 0 {
			continue
		}
		out = append(out, n.peer(i))
	}
	return out
}

func askedAtOnce(n *Node) int {
	if n.Claiming() {
		return claimAsks
	}
	return 1
}

func askInterval(now thclock.Instant, n *Node) time.Duration {
	if now.Add(urgentLeft).Passed(n.Deadline()) {
		return urgentEvery
	}
	return askEvery
}

func headInterval(vms int) time.Duration {
	return max(headEvery, time.Duration(vms)*headShare)
}

// jittered returns the interval give or take a quarter.
func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d)/2+1))
}
