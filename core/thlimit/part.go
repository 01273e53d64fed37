// Package thlimit decides which requests fall within their customer's rate and
// burst, counted over all VMs together.
//
// A customer's token bucket is cut into parts. Each part has one home, the VM
// that keeps its level. Every VM is a spender: it asks homes for lots of whole
// tokens and admits one request for each. A lot has a deadline, after which
// its spender spends no more of it and its home counts it as spent. At every
// moment a part's level and its unspent lots together stay within the part's
// burst, so that in any window of length t all VMs together admit at most
// burst + rate*t requests.
package thlimit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

const (
	// Parts is into how many parts a large bucket is cut, so that the loss of a
	// home leaves the most of it.
	Parts = 3
	// partedBurst is the least burst of a bucket that is cut up. In a smaller
	// one the fractions of tokens in each part would count.
	partedBurst = 30
)

// Part names one share of a customer's bucket.
type Part struct {
	Customer string `json:"customer"`
	Index    int    `json:"index"`
}

// PartCount returns how many parts of the customer's bucket hold tokens.
func PartCount(u thconfig.Customer) int {
	if u.Burst < partedBurst {
		return min(1, max(0, u.Burst))
	}
	return Parts
}

// Share returns the part's rate and burst. The shares of all parts add up to
// the customer's rate and burst. They depend on the customer alone, and none
// of them falls while the customer's own rate or burst rises, unless the
// number of parts changes.
func (p Part) Share(u thconfig.Customer) (rate float64, burst int) {
	n := PartCount(u)
	if p.Index < 0 || p.Index >= n {
		return 0, 0
	}
	return u.Rate / float64(n), (u.Burst + n - 1 - p.Index) / n
}

func (p Part) name() string {
	return p.Customer + "\x00" + strconv.Itoa(p.Index)
}

// Layout gives the home of each part for one roster. It is immutable.
type Layout struct {
	roster throster.Roster
	zones  []throster.Roster
	names  []string
}

// NewLayout returns the layout of a roster.
func NewLayout(r throster.Roster) *Layout {
	l := &Layout{roster: r, names: r.Zones()}
	for _, z := range l.names {
		l.zones = append(l.zones, r.InZone(z))
	}
	return l
}

// Roster returns the layout's roster.
func (l *Layout) Roster() throster.Roster { return l.roster }

// Home returns the VM that keeps the part. The parts of a customer lie in
// different zones as far as there are so many.
func (l *Layout) Home(p Part) (throster.VM, bool) {
	if len(l.zones) == 0 {
		return throster.VM{}, false
	}
	order := l.zoneOrder(p.Customer)
	return l.zones[order[p.Index%len(order)]].Home(p.name())
}

func (l *Layout) zoneOrder(customer string) []int {
	type ranked struct {
		zone   int
		weight uint64
	}
	rs := make([]ranked, len(l.names))
	for i, z := range l.names {
		rs[i] = ranked{i, xxhash.Sum64String(z + "\x00" + customer)}
	}
	slices.SortFunc(rs, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	order := make([]int, len(rs))
	for i, r := range rs {
		order[i] = r.zone
	}
	return order
}
