package thbalance

import (
	"slices"
	"strings"

	"tamarackhollow/core/throute"
)

// TargetStatus is what a VM believes of one target, and why.
type TargetStatus = throute.TargetStatus

// Status returns the state of every target of the services used so far,
// ordered by service.
func (f *Forwarder) Status() []TargetStatus {
	now := f.Clock.Now()
	var all []TargetStatus
	f.each(func(s *service) {
		s.with(func(b *throute.Balancer[*waiter]) { all = append(all, b.Status(now)...) })
	})
	slices.SortStableFunc(all, func(a, b TargetStatus) int { return strings.Compare(a.Service, b.Service) })
	return all
}
