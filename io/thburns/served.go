package thburns

import "tamarackhollow/core/thburn"

// Served is how the customers fared over the last hour that this VM keeps the
// windows of. Over all VMs' metrics, the smallest WorstGoodShare and the sum of
// WithinRate are the fleet's.
type Served struct {
	// WorstCustomer is empty if none has had enough requests.
	WorstCustomer  string
	WorstGoodShare float64
	// WithinRate counts requests refused although the customer was within its rate.
	WithinRate uint64
	// Paging is whether a page is raised.
	Paging bool
}

// Served returns how the customers fared that this VM is the home of.
func (b *Burns) Served() Served {
	all := make([]int, thburn.Parts)
	for i := range all {
		all[i] = i
	}
	r := b.reportParts(reportQuestion{Parts: all})
	s := Served{WithinRate: r.WithinRate, Paging: r.Paging(), WorstGoodShare: 1}
	if r.Worst.Customer != "" {
		s.WorstCustomer = r.Worst.Customer
		s.WorstGoodShare = r.Worst.Counts.GoodShare()
	}
	return s
}
