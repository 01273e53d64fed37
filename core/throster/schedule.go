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
	// headEvery is how often a VM of a small fleet reads the store's head, and
	// headShare is what each VM of a large one adds to that, so that the fleet
	// makes at most one read in headShare.
	headEvery = time.Second
	headShare = 5 * time.Millisecond
	// claimAsks is how many peers a restarted VM asks at once.
	claimAsks = 8
	// peerRetry is how seldom a peer that failed is picked: one time in so many.
	peerRetry = 8
)

// Schedule decides whom to ask when. The zero Schedule asks at once.
type Schedule struct {
	nextAsk  thclock.Instant
	nextHead thclock.Instant
	failed   map[string]bool
}

// Duties is what is due now.
type Duties struct {
	Ask      []VM
	ReadHead bool
}

// Due returns what is due and sets when it is due again.
func (s *Schedule) Due(now thclock.Instant, rng *rand.Rand, n *Node) Duties {
	var d Duties
	if now.Passed(s.nextHead) {
		s.nextHead = now.Add(jittered(rng, headInterval(n.Roster().Len())))
		d.ReadHead = true
	}
	if now.Passed(s.nextAsk) {
		s.nextAsk = now.Add(jittered(rng, askEvery))
		d.Ask = s.peers(rng, n)
	}
	return d
}

// Failed records that a call to the peer failed, and Worked that one succeeded.
func (s *Schedule) Failed(id string) {
	if s.failed == nil {
		s.failed = make(map[string]bool)
	}
	s.failed[id] = true
}

// Worked records that a call to the peer succeeded.
func (s *Schedule) Worked(id string) { delete(s.failed, id) }

func (s *Schedule) peers(rng *rand.Rand, n *Node) []VM {
	var out []VM
	want := 1
	if n.Claiming() {
		want = claimAsks
	}
	vs := n.Roster().VMs()
	for range want * peerRetry {
		if len(out) == want || len(vs) == 0 {
			break
		}
		v := vs[rng.IntN(len(vs))]
		skip := v.ID == n.self.ID || n.Claiming() && n.confirmed[v.ID]
		if skip || s.failed[v.ID] && rng.IntN(peerRetry) > 0 {
			continue
		}
		out = append(out, v)
	}
	return out
}

func headInterval(vms int) time.Duration {
	return max(headEvery, time.Duration(vms)*headShare)
}

// jittered returns the interval give or take a quarter.
func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d)/2+1))
}
