package thburn

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"tamarackhollow/core/thclock"
)

// Query selects the rows of a report.
type Query struct {
	// Customer and Service limit the report to one of each; empty means all.
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	// Top bounds the number of rows; 0 means defaultMaxRows.
	Top int `json:"top,omitempty"`
}

const defaultMaxRows = 50

func (q Query) maxRows() int {
	if q.Top <= 0 {
		return defaultMaxRows
	}
	return q.Top
}

// WindowCounts holds the counts of one window and their burn rate.
type WindowCounts struct {
	Window   string  `json:"window"`
	Counts   Counts  `json:"counts"`
	BurnRate float64 `json:"burn"`
}

// Row holds what is reported on one customer's requests to one service, or on all
// requests to a service, in which case Customer is empty.
type Row struct {
	SeriesKey
	// Rate is the customer's limit in requests per second over all VMs; 0 means no
	// limit.
	Rate      float64        `json:"rate,omitempty"`
	Objective Objective      `json:"objective"`
	Windows   []WindowCounts `json:"windows"`
	Alerts    []Alert        `json:"alerts,omitempty"`
	Kinds     []KindCount    `json:"kinds,omitempty"`
}

// CustomerCounts holds a customer's counts of the last hour over all services.
type CustomerCounts struct {
	Customer string `json:"customer"`
	Counts   Counts `json:"counts"`
}

// Report says how the fleet, or one VM of it, serves its customers.
type Report struct {
	// Rows holds a row per customer and service, those with alerts first and then
	// by descending burn rate.
	Rows []Row `json:"rows"`
	// Services holds the total of each service, ordered by name.
	Services []Row `json:"services"`
	// Worst is the customer with the smallest share of good requests over the last
	// hour, among those with at least minWorstRequests. Its Customer is empty if
	// there is none.
	Worst CustomerCounts `json:"worst"`
	// WithinRate is the number of requests of the last hour that were refused over
	// the limit although their customers were within their rates.
	WithinRate uint64 `json:"withinRate"`
	// LeftOut is the number of rows that the query's Top left out.
	LeftOut int `json:"leftOut,omitempty"`
	// Missing holds the IDs of the VMs that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// minWorstRequests is the number of valid requests in the last hour that a
// customer needs to be the worst served.
const minWorstRequests = 20

// Lookup gives access to the services' objectives and the customers' rates.
type Lookup struct {
	Objective func(service string) Objective
	// Rate returns the customer's limit in requests per second over all VMs, and 0
	// if it has none.
	Rate func(customer string) float64
}

// Report returns the report of this recorder's VM, with counts only: Merge
// computes burn rates, alerts and totals.
func (r *Recorder) Report(now thclock.Instant, lookup Lookup) Report {
	minute := MinuteOf(now)
	var report Report
	for _, key := range r.sortedKeys() {
		s := r.series[key]
		row := Row{SeriesKey: key, Rate: lookup.Rate(key.Customer), Objective: lookup.Objective(key.Service), Kinds: s.recentKinds(minute)}
		for _, w := range Windows() {
			row.Windows = append(row.Windows, WindowCounts{Window: w.Name, Counts: s.window(w, minute)})
		}
		report.Rows = append(report.Rows, row)
	}
	return report
}

// evaluated returns the row with its burn rates and alerts computed from the
// counts.
func (r Row) evaluated() Row {
	r.Windows = slices.Clone(r.Windows)
	for i, w := range r.Windows {
		r.Windows[i].BurnRate = BurnRate(w.Counts, r.Objective)
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

// addRow returns the total with the row's counts added, and with the row's rate
// and objective.
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

// truncated returns the report with its rows ordered by urgency and those beyond
// maxRows left out.
func (r Report) truncated(maxRows int) Report {
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		if c := cmp.Compare(b.urgency(), a.urgency()); c != 0 {
			return c
		}
		if c := strings.Compare(a.Customer, b.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.Service, b.Service)
	})
	if len(r.Rows) > maxRows {
		r.LeftOut += len(r.Rows) - maxRows
		r.Rows = slices.Clip(r.Rows[:maxRows])
	}
	return r
}

// urgency returns the largest burn rate over the windows, plus alertUrgency if the
// row has alerts, so that rows with alerts come first.
func (r Row) urgency() float64 {
	const alertUrgency = 1e6
	var urgency float64
	for _, w := range r.Windows {
		urgency = max(urgency, w.BurnRate)
	}
	if len(r.Alerts) > 0 {
		urgency += alertUrgency
	}
	return urgency
}

// Merge returns the report of the fleet from the reports of its VMs.
func Merge(q Query, parts []Report) Report {
	rows := make(map[SeriesKey]Row)
	var merged Report
	for _, p := range parts {
		merged.Missing = append(merged.Missing, p.Missing...)
		for _, r := range p.Rows {
			sum := addRow(rows[r.SeriesKey], r)
			sum.SeriesKey = r.SeriesKey
			rows[r.SeriesKey] = sum
		}
	}
	markWithinRate(rows)
	totals, customers := make(map[string]Row), make(map[string]CustomerCounts)
	for _, key := range slices.SortedFunc(maps.Keys(rows), compareKeys) {
		if q.Customer != "" && q.Customer != key.Customer || q.Service != "" && q.Service != key.Service {
			continue
		}
		row := rows[key].evaluated()
		merged.Rows = append(merged.Rows, row)
		total := addRow(totals[key.Service], row)
		total.SeriesKey, total.Rate = SeriesKey{Service: key.Service}, 0
		totals[key.Service] = total
		hour := row.countsOf(oneHour)
		merged.WithinRate += uint64(hour.WithinRate)
		customers[key.Customer] = CustomerCounts{Customer: key.Customer, Counts: customers[key.Customer].Counts.Plus(hour)}
	}
	for _, s := range customers {
		merged.Worst = worseServed(merged.Worst, s)
	}
	merged.Services = evaluateTotals(totals)
	return merged.truncated(q.maxRows())
}

// markWithinRate sets WithinRate in the windows in which a customer offered no
// more requests, over all services, than its rate allows.
func markWithinRate(rows map[SeriesKey]Row) {
	for i, w := range Windows() {
		offered := make(map[string]uint64)
		for key, r := range rows {
			offered[key.Customer] += r.Windows[i].Counts.Offered()
		}
		for key, r := range rows {
			if r.Rate > 0 && float64(offered[key.Customer]) <= r.Rate*w.Span.Seconds() {
				r.Windows[i].Counts.WithinRate = r.Windows[i].Counts.OverLimit
			}
		}
	}
}

// HasPage reports whether any row or service total has an alert of severity Page.
func (r Report) HasPage() bool {
	return slices.ContainsFunc(slices.Concat(r.Rows, r.Services), func(row Row) bool {
		return slices.ContainsFunc(row.Alerts, func(a Alert) bool { return a.Severity == Page })
	})
}
