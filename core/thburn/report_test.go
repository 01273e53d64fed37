package thburn_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
)

// filled returns a ledger with the same counts in each of the last minutes.
func filled(minutes int64, customer string, per thburn.Counts) *thburn.Ledger {
	l := &thburn.Ledger{}
	for m := range minutes {
		l.Merge(at(firstMinute+m), thburn.Batch{Source: "vm1", Deltas: []thburn.Delta{{
			Sequence: uint64(m + 1), Minute: firstMinute + m,
			Entries: []thburn.Entry{{Name: thburn.Name{Customer: customer, Service: "stock"}, Counts: per}},
		}}})
		l.Close(at(firstMinute+m), noRates)
	}
	return l
}

func alertsOf(l *thburn.Ledger, minute int64) []thburn.Alert {
	return l.Report(at(minute), thburn.Query{}, objectives).Rows[0].Alerts
}

func TestFastBurnPagesAndEndsSoonAfter(t *testing.T) {
	// The budget is 1 %: a share of 20 % bad burns 20 times too fast.
	l := filled(60, "depot", thburn.Counts{Good: 80, Failed: 20})
	alerts := alertsOf(l, firstMinute+59)
	assert.Equal(t, alerts[0], thburn.Alert{Severity: thburn.Page, Long: "1h", Short: "5m", Factor: 14.4})
	// Five good minutes later the short window is clean.
	for _, a := range alertsOf(l, firstMinute+66) {
		assert.Assert(t, a.Short != "5m", "%+v", a)
	}
}

func TestSlowBurnOnlyOpensATicket(t *testing.T) {
	l := filled(24*60, "depot", thburn.Counts{Good: 98, Slow: 2})
	alerts := alertsOf(l, firstMinute+24*60-1)
	assert.Equal(t, len(alerts), 1)
	assert.Equal(t, alerts[0].Severity, thburn.Ticket)
}

func TestFewFailuresRaiseNothing(t *testing.T) {
	l := filled(4, "depot", thburn.Counts{Failed: 1})
	assert.Equal(t, len(alertsOf(l, firstMinute+3)), 0)
}

func TestMergedReportFindsTheWorstServedAndCutsRows(t *testing.T) {
	var parts []thburn.Report
	for i := range 10 {
		l := filled(10, fmt.Sprintf("c%d", i), thburn.Counts{Good: 100, Failed: uint32(i)})
		parts = append(parts, l.Report(at(firstMinute+9), thburn.Query{}, objectives))
	}
	r := thburn.Merged(thburn.Query{Top: 3}, parts)
	assert.Equal(t, r.Worst.Customer, "c9")
	assert.Equal(t, len(r.Rows), 3)
	assert.Equal(t, r.LeftOut, 7)
	assert.Equal(t, r.Rows[0].Customer, "c9")
	assert.Equal(t, len(r.Services), 1)
	assert.Equal(t, r.Services[0].Windows[2].Counts, thburn.Counts{Good: 10_000, Failed: 450})
}

func TestClassesOfKinds(t *testing.T) {
	for _, k := range therror.Kinds() {
		c := thburn.ClassOf(k)
		if k.Answer().Outcome == therror.OutcomeUnknown {
			assert.Assert(t, c != thburn.Refused, "%v may have run", k)
		}
		if status := k.Answer().Status; status >= 500 && k != therror.Internal {
			assert.Assert(t, c == thburn.Refused || c == thburn.Failed, "%v counts against the objective", k)
		}
	}
	assert.Equal(t, thburn.ClassOf(therror.OverLimit), thburn.OverLimit)
	assert.Equal(t, thburn.ClassOf(therror.KeyUnknown), thburn.CallersFault)
	slow := thburn.Observation{Status: 200, Latency: 101e6}
	assert.Equal(t, thburn.Classify(slow, objective), thburn.Slow)
	assert.Equal(t, thburn.Classify(thburn.Observation{Status: 503}, objective), thburn.Failed)
}
