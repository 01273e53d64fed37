package thburn

// Severity says how soon somebody has to react to an alert.
type Severity string

// The severities, most urgent first.
const (
	// Page is for burn that somebody must look at now.
	Page Severity = "page"
	// Ticket is for burn that can wait for working hours.
	Ticket Severity = "ticket"
)

// Alert reports a burn rate above the threshold in a long window, which shows
// that it lasts, and in a short one, which shows that it goes on.
type Alert struct {
	Severity    Severity `json:"severity"`
	LongWindow  string   `json:"long"`
	ShortWindow string   `json:"short"`
	// Threshold is the burn rate that both windows have reached or exceeded.
	Threshold float64 `json:"factor"`
}

type alertRule struct {
	severity    Severity
	long, short Window
	threshold   float64
}

// alertRules raise an alert once 2 % of a 30-day error budget is spent within an
// hour, 5 % within six hours or 10 % within three days.
var alertRules = []alertRule{
	{Page, oneHour, fiveMinutes, 14.4},
	{Page, sixHours, halfHour, 6},
	{Ticket, threeDays, sixHours, 1},
}

// minBadRequests is the number of bad requests that the long window must hold, so
// that a single failure of a customer with few requests raises no alert.
const minBadRequests = 5

// BurnRate returns how many times faster than the objective allows the error
// budget is spent: at 1, a 30-day budget lasts 30 days. It returns 0 if there is
// no valid request, no availability objective, or no error budget under it.
func BurnRate(counts Counts, objective Objective) float64 {
	budget := 1 - objective.Availability
	if counts.Valid() == 0 || objective.Availability <= 0 || budget <= 0 {
		return 0
	}
	return float64(counts.Bad()) / float64(counts.Valid()) / budget
}

// EvaluateAlerts returns the alerts that are raised by the counts of the windows.
func EvaluateAlerts(counts func(Window) Counts, objective Objective) []Alert {
	var alerts []Alert
	for _, r := range alertRules {
		long := counts(r.long)
		if long.Bad() < minBadRequests || BurnRate(long, objective) < r.threshold {
			continue
		}
		if BurnRate(counts(r.short), objective) < r.threshold {
			continue
		}
		alerts = append(alerts, Alert{Severity: r.severity, LongWindow: r.long.Name, ShortWindow: r.short.Name, Threshold: r.threshold})
	}
	return alerts
}
