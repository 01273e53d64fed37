package throster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackhollow/core/thclock"
)

const (
	// ageUnit is the unit of the ages that VMs tell each other, in one byte.
	ageUnit = 20 * time.Millisecond
	// ageUnknown stands for a member not heard of within what a byte holds.
	ageUnknown = 255
)

// Question asks a peer what it knows. The moment it is sent at is what the
// answer's ages count back from.
type Question struct {
	Version     uint64 `json:"version"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peerAddress,omitempty"`
	// Seats sums up the incarnations that the asker knows of.
	Seats uint64 `json:"seats"`
	// Brief asks for the peer's own state alone.
	Brief bool `json:"brief,omitempty"`
}

// Override is an incarnation that is newer than the roster's.
type Override struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peerAddress,omitempty"`
}

// Answer is what a peer knew at some moment after the question was sent.
type Answer struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Voter       bool   `json:"voter"`
	Version     uint64 `json:"version"`
	// Roster is the version of the roster that Ages and Acked are ordered by.
	Roster   uint64 `json:"roster"`
	Accepted uint64 `json:"accepted"`
	// AsOfMillis is how long ago the peer knew every accepted change; -1 if it
	// cannot tell.
	AsOfMillis int64 `json:"asOfMillis"`
	// Ages holds for each VM of the roster how long ago, in ageUnit and
	// rounded up, it knew nothing beyond Version.
	Ages []byte `json:"ages,omitempty"`
	// Acked holds a bit for each VM of the roster that has Version.
	Acked []byte `json:"acked,omitempty"`
	// Seats sums up the incarnations, and Overrides lists them where the
	// asker's differ.
	Seats     uint64     `json:"seats"`
	Overrides []Override `json:"overrides,omitempty"`
}

// Ask returns the question to put to a peer now.
func (n *Node) Ask() Question {
	return Question{
		Version: n.version, ID: n.self.ID, Incarnation: n.self.Incarnation, PeerAddress: n.self.PeerAddress,
		Seats: sumOverrides(n.overrides()),
	}
}

// Answer answers a question. An incarnation that the node learns of from the
// question is on record before the answer leaves.
func (n *Node) Answer(now thclock.Instant, q Question) Answer {
	n.learnIncarnation(Override{ID: q.ID, Incarnation: q.Incarnation, PeerAddress: q.PeerAddress})
	n.selfAcks()
	os := n.overrides()
	a := Answer{
		ID: n.self.ID, Incarnation: n.self.Incarnation, Voter: n.Voter(),
		Version: n.version, Roster: n.Roster().Version(), Accepted: n.accepted,
		AsOfMillis: asOfMillis(now, n.asOf), Seats: sumOverrides(os),
	}
	if a.Seats != q.Seats {
		a.Overrides = os
	}
	if q.Brief {
		return a
	}
	a.Ages = make([]byte, len(n.seats))
	a.Acked = make([]byte, (len(n.seats)+7)/8)
	for i, s := range n.seats {
		a.Ages[i] = age(now, s.heard)
		if s.acked >= n.version {
			a.Acked[i/8] |= 1 << (i % 8)
		}
	}
	return a
}

// Answered takes in an answer to a question sent at the given moment. It
// reports false, and takes nothing in, while the node's version is lower than
// the answer's: the records have to come first.
func (n *Node) Answered(sent thclock.Instant, a Answer) bool {
	if a.Version > n.version {
		return false
	}
	n.learnOverrides(a)
	if a.AsOfMillis >= 0 && a.AsOfMillis < FreshFor.Milliseconds() {
		n.know(sent.Add(-time.Duration(a.AsOfMillis) * time.Millisecond))
	}
	n.heardFrom(sent, a)
	n.mergeSeats(sent, a)
	n.acceptedUpTo(min(a.Accepted, a.Version))
	n.settle()
	n.countMajority()
	return true
}

// HeadRead takes in a read of the store's head that was sent at the given
// moment, when the node was at the given version. It reports false if the
// records up to the head have to come first, or if the store offers an older
// version than the node had, which proves nothing.
func (n *Node) HeadRead(sent thclock.Instant, had, head uint64) bool {
	if head < had || head > n.version {
		return false
	}
	n.know(sent)
	return true
}

func (n *Node) know(at thclock.Instant) {
	if n.asOf.Before(at) {
		n.asOf = at
	}
}

func (n *Node) heardFrom(sent thclock.Instant, a Answer) {
	s := n.seat(a.ID)
	if s == nil || !a.Voter || a.Incarnation != s.incarnation {
		return
	}
	if s.heard.Before(sent) {
		s.heard = sent
	}
	s.acked = max(s.acked, a.Version)
	if n.Claiming() && a.ID != n.self.ID && a.Roster == n.Roster().Version() {
		n.confirmed[a.ID] = true
	}
}

// mergeSeats takes in what the peer has from others. It counts only where both
// mean the same incarnation.
func (n *Node) mergeSeats(sent thclock.Instant, a Answer) {
	vs := n.Roster().VMs()
	if a.Roster != n.Roster().Version() || len(a.Ages) != len(vs) || len(a.Acked) != (len(vs)+7)/8 {
		return
	}
	same := a.Seats == sumOverrides(n.overrides())
	for i, v := range vs {
		s := &n.seats[i]
		if v.ID == n.self.ID || !same && s.incarnation != incarnationIn(a, v) {
			continue
		}
		if a.Ages[i] != ageUnknown {
			if at := sent.Add(-time.Duration(a.Ages[i]) * ageUnit); s.heard.Before(at) {
				s.heard = at
			}
		}
		if a.Acked[i/8]&(1<<(i%8)) != 0 {
			s.acked = max(s.acked, a.Version)
		}
	}
}

func incarnationIn(a Answer, v VM) uint64 {
	i, ok := slices.BinarySearchFunc(a.Overrides, v.ID, func(o Override, id string) int {
		switch {
		case o.ID < id:
			return -1
		case o.ID > id:
			return 1
		}
		return 0
	})
	if ok {
		return a.Overrides[i].Incarnation
	}
	return v.Incarnation
}

// countMajority renews freshness from the majority of the roster that was
// heard of last: a change accepted before the oldest of these moments would
// have been told by one of them.
func (n *Node) countMajority() {
	r := n.Roster()
	if r.Len() == 0 {
		return
	}
	need := majority(r.Len())
	if n.Voter() {
		need--
	}
	heard := make([]thclock.Instant, 0, r.Len())
	for i, v := range r.VMs() {
		if v.ID != n.self.ID {
			heard = append(heard, n.seats[i].heard)
		}
	}
	if need == 0 || need > len(heard) {
		return
	}
	slices.SortFunc(heard, func(a, b thclock.Instant) int { return int(b.Mono - a.Mono) })
	at := heard[need-1]
	for _, h := range heard[:need] {
		at.Wall = min(at.Wall, h.Wall)
	}
	if at != (thclock.Instant{}) {
		n.know(at)
	}
}

func (n *Node) learnIncarnation(o Override) {
	if s := n.seat(o.ID); s != nil && o.Incarnation > s.incarnation {
		*s = seat{incarnation: o.Incarnation, address: o.PeerAddress}
	}
}

func (n *Node) learnOverrides(a Answer) {
	for _, o := range a.Overrides {
		n.learnIncarnation(o)
	}
}

// overrides lists the incarnations newer than the roster's, ordered by ID.
func (n *Node) overrides() []Override {
	var os []Override
	for i, v := range n.Roster().VMs() {
		if s := n.seats[i]; s.incarnation > v.Incarnation {
			os = append(os, Override{ID: v.ID, Incarnation: s.incarnation, PeerAddress: s.address})
		}
	}
	return os
}

func sumOverrides(os []Override) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for _, o := range os {
		_, _ = d.WriteString(o.ID)
		for i := range number {
			number[i] = byte(o.Incarnation >> (8 * i))
		}
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

func age(now, at thclock.Instant) byte {
	if at == (thclock.Instant{}) {
		return ageUnknown
	}
	units := (elapsed(now, at) + ageUnit - 1) / ageUnit
	return byte(min(max(units, 0), ageUnknown))
}

func asOfMillis(now, at thclock.Instant) int64 {
	if at == (thclock.Instant{}) {
		return -1
	}
	return int64((elapsed(now, at) + time.Millisecond - 1) / time.Millisecond)
}

// elapsed returns the larger of the two readings' differences, because a clock
// that stood still must not make old knowledge young.
func elapsed(now, at thclock.Instant) time.Duration {
	return max(now.Mono-at.Mono, now.Wall-at.Wall, 0)
}
