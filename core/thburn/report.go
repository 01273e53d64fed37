package thburn

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"tamarackhollow/core/thclock"
)

// Query says what a report is about.
type Query struct {
	// Customer and Service cut the report down; empty takes all.
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	// Top bounds the rows; 0 means the default.
	Top int `json:"top,omitempty"`
}

const defaultMaxRows = 50

func (q Query) maxRows() int {
	if q.Top <= 0 {
		return defaultMaxRows
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
	SeriesKey
	// Rate is the customer's, in requests a second over all VMs; 0 is no limit.
	Rate      float64        `json:"rate,omitempty"`
	Objective Objective      `json:"objective"`
	Windows   []WindowCounts `json:"windows"`
	Alerts    []Alert        `json:"alerts,omitempty"`
	Kinds     []KindCount    `json:"kinds,omitempty"`
}

// CustomerCounts is how a customer fared over the last hour, over all services.
type CustomerCounts struct {
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
	Worst CustomerCounts `json:"worst"`
	// WithinRate is how many requests of the last hour were refused although
	// their customers were within their rates.
	WithinRate uint64 `json:"withinRate"`
	// Left out is how many rows the query's Top cut off.
	LeftOut int `json:"leftOut,omitempty"`
	// Missing are the VMs that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// minWorstRequests is how many requests a customer must have had in an hour to count
// as the worst served.
const minWorstRequests = 20

// Lookup tell what a service promises and a customer may ask for.
type Lookup struct {
	Objective func(service string) Objective
	// Rate returns 0 for a customer without a limit.
	Rate func(customer string) float64
}

// Report returns the ledger's report. It is one VM's part of the fleet's.
func (l *Recorder) Report(now thclock.Instant, rules Lookup) Report {
	minute := MinuteOf(now)
	var r Report
	for _, n := range l.sortedKeys() {
		s := l.series[n]
		row := Row{SeriesKey: n, Rate: rules.Rate(n.Customer), Objective: rules.Objective(n.Service), Kinds: s.recentKinds(minute)}
		for _, w := range Windows() {
			row.Windows = append(row.Windows, WindowCounts{Window: w.Name, Counts: s.window(w, minute)})
		}
		r.Rows = append(r.Rows, row)
	}
	return r
}

// evaluated returns the row with its burn rates and alerts worked out anew.
func (r Row) evaluated() Row {
	r.Windows = slices.Clone(r.Windows)
	for i, w := range r.Windows {
		r.Windows[i].Burn = BurnRate(w.Counts, r.Objective)
	}
	r.Alerts = EvaluateAlerts(r.countsOf, r.Objective)
	return r
}

func (r Row) countsOf(w Window) Counts {
	for _, o := range r.Windows {
		if o.Window == w.Name {
			return o.Counts
		}
	}
	return Counts{}
}

// addRow adds the counts of a row to another.
func addRow(total, r Row) Row {
	if total.Windows == nil {
		for _, w := range Windows() {
			total.Windows = append(total.Windows, WindowCounts{Window: w.Name})
		}
	}
	total.Windows = slices.Clone(total.Windows)
	for i, w := range Windows() {
		total.Windows[i].Counts = total.Windows[i].Counts.Plus(r.countsOf(w))
	}
	total.Rate, total.Objective = r.Rate, r.Objective
	total.Kinds = addKinds(total.Kinds, r.Kinds)
	return total
}

func evaluateTotals(totals map[string]Row) []Row {
	rows := make([]Row, 0, len(totals))
	for _, t := range totals {
		rows = append(rows, t.evaluated())
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Service, b.Service) })
	return rows
}

func worseServed(a, b CustomerCounts) CustomerCounts {
	switch {
	case b.Customer == "" || b.Counts.Valid() < minWorstRequests:
		return a
	case a.Customer == "" || b.Counts.GoodShare() < a.Counts.GoodShare():
		return b
	case b.Counts.GoodShare() == a.Counts.GoodShare() && b.Customer < a.Customer:
		return b
	}
	return a
}

// truncated orders the rows by urgency and leaves out those beyond the top.
func (r Report) truncated(top int) Report {
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

// Merge returns the report over the parts of all VMs.
func Merge(q Query, parts []Report) Report {
	rows := make(map[SeriesKey]Row)
	var all Report
	for _, p := range parts {
		all.Missing = append(all.Missing, p.Missing...)
		for _, r := range p.Rows {
			n := addRow(rows[r.SeriesKey], r)
			n.SeriesKey = r.SeriesKey
			rows[r.SeriesKey] = n
		}
	}
	markWithinRate(rows)
	totals, shares := make(map[string]Row), make(map[string]CustomerCounts)
	for _, n := range slices.SortedFunc(maps.Keys(rows), compareKeys) {
		if q.Customer != "" && q.Customer != n.Customer || q.Service != "" && q.Service != n.Service {
			continue
		}
		row := rows[n].evaluated()
		all.Rows = append(all.Rows, row)
		total := addRow(totals[n.Service], row)
		total.SeriesKey, total.Rate = SeriesKey{Service: n.Service}, 0
		totals[n.Service] = total
		hour := row.countsOf(oneHour)
		all.WithinRate += uint64(hour.WithinRate)
		shares[n.Customer] = CustomerCounts{Customer: n.Customer, Counts: shares[n.Customer].Counts.Plus(hour)}
	}
	for _, s := range shares {
		all.Worst = worseServed(all.Worst, s)
	}
	all.Services = evaluateTotals(totals)
	return all.truncated(q.maxRows())
}

// markWithinRate finds the refusals over the limit of customers that asked for no
// more than their rate over the window.
func markWithinRate(rows map[SeriesKey]Row) {
	for i, w := range Windows() {
		offered := make(map[string]uint64)
		for n, r := range rows {
			offered[n.Customer] += r.Windows[i].Counts.Offered()
		}
		for n, r := range rows {
			if r.Rate > 0 && float64(offered[n.Customer]) <= r.Rate*w.Span.Seconds() {
				r.Windows[i].Counts.WithinRate = r.Windows[i].Counts.OverLimit
			}
		}
	}
}

// HasPage reports whether any row or service raises a page.
func (r Report) HasPage() bool {
	return slices.ContainsFunc(slices.Concat(r.Rows, r.Services), func(row Row) bool {
		return slices.ContainsFunc(row.Alerts, func(a Alert) bool { return a.Severity == Page })
	})
}
