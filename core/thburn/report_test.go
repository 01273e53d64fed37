package thburn_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
)

// filled returns a ledger with the same requests in each of the minutes.
func filled(minutes int64, customer string, per map[thburn.Class]int) *thburn.Recorder {
	l := &thburn.Recorder{}
	n := thburn.SeriesKey{Customer: customer, Service: "stock"}
	for m := range minutes {
		for class, count := range per {
			for range count {
				l.Record(at(firstMinute+m), observation(n, class), objective)
			}
		}
	}
	return l
}

func merged(q thburn.Query, minute int64, ls ...*thburn.Recorder) thburn.Report {
	var parts []thburn.Report
	for _, l := range ls {
		parts = append(parts, l.Report(at(minute), rules(0)))
	}
	return thburn.Merge(q, parts)
}

func alertsOf(l *thburn.Recorder, minute int64) []thburn.Alert {
	return merged(thburn.Query{}, minute, l).Rows[0].Alerts
}

func TestFastBurnPagesAndEndsSoonAfter(t *testing.T) {
	// The budget is 1 %: a share of 20 % bad burns 20 times too fast.
	l := filled(60, "depot", map[thburn.Class]int{thburn.Good: 80, thburn.Failed: 20})
	alerts := alertsOf(l, firstMinute+59)
	assert.Equal(t, alerts[0], thburn.Alert{Severity: thburn.Page, LongWindow: "1h", ShortWindow: "5m", Threshold: 14.4})
	// Five good minutes later the short window is clean.
	for _, a := range alertsOf(l, firstMinute+66) {
		assert.Assert(t, a.ShortWindow != "5m", "%+v", a)
	}
}

func TestSlowBurnOnlyOpensATicket(t *testing.T) {
	l := filled(24*60, "depot", map[thburn.Class]int{thburn.Good: 98, thburn.Slow: 2})
	alerts := alertsOf(l, firstMinute+24*60-1)
	assert.Equal(t, len(alerts), 1)
	assert.Equal(t, alerts[0].Severity, thburn.Ticket)
}

func TestFewFailuresRaiseNothing(t *testing.T) {
	l := filled(4, "depot", map[thburn.Class]int{thburn.Failed: 1})
	assert.Equal(t, len(alertsOf(l, firstMinute+3)), 0)
}

func TestMergedReportFindsTheWorstServedAndCutsRows(t *testing.T) {
	var all []*thburn.Recorder
	for i := range 10 {
		all = append(all, filled(10, fmt.Sprintf("c%d", i), map[thburn.Class]int{thburn.Good: 100, thburn.Failed: i}))
	}
	r := merged(thburn.Query{Top: 3}, firstMinute+9, all...)
	assert.Equal(t, r.Worst.Customer, "c9")
	assert.Equal(t, len(r.Rows), 3)
	assert.Equal(t, r.LeftOut, 7)
	assert.Equal(t, r.Rows[0].Customer, "c9")
	assert.Equal(t, len(r.Services), 1)
	assert.Equal(t, r.Services[0].Windows[2].Counts, thburn.Counts{Good: 10_000, Failed: 450})
}

func TestOneCustomersRowsOfSeveralVMsAreAddedUp(t *testing.T) {
	one := filled(10, "depot", map[thburn.Class]int{thburn.Good: 10})
	two := filled(10, "depot", map[thburn.Class]int{thburn.Refused: 1})
	r := merged(thburn.Query{Customer: "depot"}, firstMinute+9, one, two)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].Windows[2].Counts, thburn.Counts{Good: 100, Refused: 10})
	assert.DeepEqual(t, r.Rows[0].Kinds, []thburn.KindCount{{Kind: therror.QueueFull.String(), Count: 10}})
	assert.Equal(t, len(merged(thburn.Query{Customer: "another"}, firstMinute+9, one, two).Rows), 0)
}

func TestClassesOfKinds(t *testing.T) {
	for _, k := range therror.Kinds() {
		c := thburn.ClassifyRefusal(k)
		if k.Answer().Outcome == therror.OutcomeUnknown {
			assert.Assert(t, c != thburn.Refused, "%v may have run", k)
		}
		if status := k.Answer().Status; status >= 500 && k != therror.Internal && k != therror.Quarantined {
			assert.Assert(t, c == thburn.Refused || c == thburn.Failed, "%v counts against the objective", k)
		}
	}
	assert.Equal(t, thburn.ClassifyRefusal(therror.OverLimit), thburn.OverLimit)
	assert.Equal(t, thburn.ClassifyRefusal(therror.KeyUnknown), thburn.CallerError)
	slow := thburn.Observation{Status: 200, Latency: 101e6}
	assert.Equal(t, thburn.Classify(slow, objective), thburn.Slow)
	assert.Equal(t, thburn.Classify(thburn.Observation{Status: 503}, objective), thburn.Failed)
}
