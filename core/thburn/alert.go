package thburn

// Severity is how urgent an alert is.
type Severity string

// The severities.
const (
	// Page is for a burn that a person should look at now.
	Page Severity = "page"
	// Ticket is for a burn that can wait for working hours.
	Ticket Severity = "ticket"
)

// Alert is a burn that has lasted over a long window and goes on in a short one.
type Alert struct {
	Severity    Severity `json:"severity"`
	LongWindow  string   `json:"long"`
	ShortWindow string   `json:"short"`
	// Threshold is the burn rate that both windows exceed: how many times faster
	// than the objective allows the error budget is spent.
	Threshold float64 `json:"factor"`
}

type alertRule struct {
	severity    Severity
	long, short Window
	threshold   float64
}

// alertRules spend 2 % of a 30-day budget in an hour, 5 % in six hours and 10 % in
// three days before they alert.
var alertRules = []alertRule{
	{Page, oneHour, fiveMinutes, 14.4},
	{Page, sixHours, halfHour, 6},
	{Ticket, threeDays, sixHours, 1},
}

// minBadRequests is how many bad requests the long window must hold, so that a single
// failure of a customer with few requests wakes nobody.
const minBadRequests = 5

// BurnRate returns how many times faster than the objective allows the error
// budget is spent. An objective without a budget gives 0.
func BurnRate(c Counts, objective Objective) float64 {
	budget := 1 - objective.Availability
	if c.Valid() == 0 || objective.Availability <= 0 || budget <= 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Valid()) / budget
}

// EvaluateAlerts returns the alerts that the counts of the windows raise.
func EvaluateAlerts(counts func(Window) Counts, objective Objective) []Alert {
	var all []Alert
	for _, r := range alertRules {
		long := counts(r.long)
		if long.Bad() < minBadRequests || BurnRate(long, objective) < r.threshold {
			continue
		}
		if BurnRate(counts(r.short), objective) < r.threshold {
			continue
		}
		all = append(all, Alert{Severity: r.severity, LongWindow: r.long.Name, ShortWindow: r.short.Name, Threshold: r.threshold})
	}
	return all
}
