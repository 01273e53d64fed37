package thburn

import (
	"cmp"
	"slices"
	"strings"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
)

// Query says what a report is about.
type Query struct {
	// Customer and Service cut the report down; empty takes all.
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	// Top bounds the rows; 0 means the default.
	Top int `json:"top,omitempty"`
}

const defaultTop = 50

func (q Query) top() int {
	if q.Top <= 0 {
		return defaultTop
	}
	return q.Top
}

// WindowCounts are the counts of one window and what they burn.
type WindowCounts struct {
	Window string  `json:"window"`
	Counts Counts  `json:"counts"`
	Burn   float64 `json:"burn"`
}

// Row is one customer's share of one service. The Customer of a service's
// total is empty.
type Row struct {
	Name
	Objective thconfig.Objective `json:"objective"`
	Windows   []WindowCounts     `json:"windows"`
	Alerts    []Alert            `json:"alerts,omitempty"`
	Kinds     []KindCount        `json:"kinds,omitempty"`
}

// CustomerShare is how a customer fared over the last hour, over all services.
type CustomerShare struct {
	Customer string `json:"customer"`
	Counts   Counts `json:"counts"`
}

// Report says how the fleet serves its customers.
type Report struct {
	// Rows are the customers' rows, the fastest burn first.
	Rows []Row `json:"rows"`
	// Services are the totals of each service, ordered by name.
	Services []Row `json:"services"`
	// Worst is the customer with the smallest share of good requests over the
	// last hour, among those with enough requests. Its name is empty if there is none.
	Worst CustomerShare `json:"worst"`
	// WithinRate is how many requests of the last hour were refused although
	// their customers were within their rates.
	WithinRate uint64 `json:"withinRate"`
	// Left out is how many rows the query's Top cut off.
	LeftOut int `json:"leftOut,omitempty"`
	// Missing are the parts whose home did not answer.
	Missing []int `json:"missing,omitempty"`
}

// minShare is how many requests a customer must have had in an hour to count
// as the worst served.
const minShare = 20

// Objectives returns a service's objective.
type Objectives func(service string) thconfig.Objective

// Report returns the ledger's report.
func (l *Ledger) Report(now thclock.Instant, q Query, objectives Objectives) Report {
	minute := MinuteOf(now)
	var r Report
	totals := map[string]Row{}
	shares := map[string]CustomerShare{}
	for _, n := range l.names() {
		if q.Customer != "" && q.Customer != n.Customer || q.Service != "" && q.Service != n.Service {
			continue
		}
		s := l.series[n]
		row := Row{Name: n, Objective: objectives(n.Service), Kinds: s.recentKinds(minute)}
		for _, w := range Windows() {
			row.Windows = append(row.Windows, WindowCounts{Window: w.Name, Counts: s.window(w, minute, l.closed)})
		}
		row = row.judged()
		r.Rows = append(r.Rows, row)
		totals[n.Service] = plusRow(totals[n.Service], row)
		hour := row.count(oneHour)
		r.WithinRate += uint64(hour.WithinRate)
		share := shares[n.Customer]
		shares[n.Customer] = CustomerShare{Customer: n.Customer, Counts: share.Counts.Plus(hour)}
	}
	for _, s := range shares {
		r.Worst = worse(r.Worst, s)
	}
	r.Services = ordered(totals)
	return r.cut(q.top())
}

// judged returns the row with its burn rates and alerts worked out anew.
func (r Row) judged() Row {
	r.Windows = slices.Clone(r.Windows)
	for i, w := range r.Windows {
		r.Windows[i].Burn = Burn(w.Counts, r.Objective)
	}
	r.Alerts = Alerts(r.count, r.Objective)
	return r
}

func (r Row) count(w Window) Counts {
	for _, o := range r.Windows {
		if o.Window == w.Name {
			return o.Counts
		}
	}
	return Counts{}
}

// plusRow adds a row to its service's total.
func plusRow(total, r Row) Row {
	if total.Windows == nil {
		total = Row{Name: Name{Service: r.Service}, Objective: r.Objective}
		for _, w := range Windows() {
			total.Windows = append(total.Windows, WindowCounts{Window: w.Name})
		}
	}
	total.Windows = slices.Clone(total.Windows)
	for i, w := range Windows() {
		total.Windows[i].Counts = total.Windows[i].Counts.Plus(r.count(w))
	}
	total.Kinds = plusKinds(total.Kinds, r.Kinds)
	return total.judged()
}

func ordered(totals map[string]Row) []Row {
	rows := make([]Row, 0, len(totals))
	for _, t := range totals {
		rows = append(rows, t)
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Service, b.Service) })
	return rows
}

func worse(a, b CustomerShare) CustomerShare {
	switch {
	case b.Customer == "" || b.Counts.Valid() < minShare:
		return a
	case a.Customer == "" || b.Counts.GoodShare() < a.Counts.GoodShare():
		return b
	case b.Counts.GoodShare() == a.Counts.GoodShare() && b.Customer < a.Customer:
		return b
	}
	return a
}

// cut orders the rows by urgency and leaves out those beyond the top.
func (r Report) cut(top int) Report {
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		if c := cmp.Compare(b.urgency(), a.urgency()); c != 0 {
			return c
		}
		if c := strings.Compare(a.Customer, b.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.Service, b.Service)
	})
	if len(r.Rows) > top {
		r.LeftOut += len(r.Rows) - top
		r.Rows = slices.Clip(r.Rows[:top])
	}
	return r
}

// urgency is the largest burn over the windows; alerts go before all else.
func (r Row) urgency() float64 {
	const alerting = 1e6
	var u float64
	for _, w := range r.Windows {
		u = max(u, w.Burn)
	}
	if len(r.Alerts) > 0 {
		u += alerting
	}
	return u
}

// Merged returns the report over all parts' reports. No customer is in two.
func Merged(q Query, parts []Report) Report {
	var all Report
	totals := map[string]Row{}
	for _, p := range parts {
		all.Rows = append(all.Rows, p.Rows...)
		all.WithinRate += p.WithinRate
		all.LeftOut += p.LeftOut
		all.Missing = append(all.Missing, p.Missing...)
		all.Worst = worse(all.Worst, p.Worst)
		for _, s := range p.Services {
			totals[s.Service] = plusRow(totals[s.Service], s)
		}
	}
	all.Services = ordered(totals)
	return all.cut(q.top())
}

// Paging reports whether any row or service raises a page.
func (r Report) Paging() bool {
	return slices.ContainsFunc(slices.Concat(r.Rows, r.Services), func(row Row) bool {
		return slices.ContainsFunc(row.Alerts, func(a Alert) bool { return a.Severity == Page })
	})
}
