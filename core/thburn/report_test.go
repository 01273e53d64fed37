package thburn_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
)

// filled returns a recorder with the same requests in each of the minutes.
func filled(minutes int64, customer string, perMinute map[thburn.Class]int) *thburn.Recorder {
	recorder := &thburn.Recorder{}
	key := thburn.SeriesKey{Customer: customer, Service: "stock"}
	for m := range minutes {
		for class, count := range perMinute {
			for range count {
				recorder.Record(at(firstMinute+m), observation(key, class), objective)
			}
		}
	}
	return recorder
}

func merged(q thburn.Query, minute int64, recorders ...*thburn.Recorder) thburn.Report {
	var parts []thburn.Report
	for _, recorder := range recorders {
		parts = append(parts, recorder.Report(at(minute), lookup(0)))
	}
	return thburn.Merge(q, parts)
}

func alertsOf(recorder *thburn.Recorder, minute int64) []thburn.Alert {
	return merged(thburn.Query{}, minute, recorder).Rows[0].Alerts
}

func TestFastBurnRaisesPageThatEndsWithShortWindow(t *testing.T) {
	// The error budget is 1 %, so that 20 % of bad requests burn it 20 times too
	// fast.
	recorder := filled(60, "depot", map[thburn.Class]int{thburn.Good: 80, thburn.Failed: 20})
	alerts := alertsOf(recorder, firstMinute+59)
	assert.Equal(t, alerts[0], thburn.Alert{Severity: thburn.Page, LongWindow: "1h", ShortWindow: "5m", Threshold: 14.4})
	// Seven minutes after the last failure the short window holds none.
	for _, a := range alertsOf(recorder, firstMinute+66) {
		assert.Assert(t, a.ShortWindow != "5m", "%+v", a)
	}
}

func TestSlowBurnRaisesOnlyTicket(t *testing.T) {
	recorder := filled(24*60, "depot", map[thburn.Class]int{thburn.Good: 98, thburn.Slow: 2})
	alerts := alertsOf(recorder, firstMinute+24*60-1)
	assert.Equal(t, len(alerts), 1)
	assert.Equal(t, alerts[0].Severity, thburn.Ticket)
}

func TestFewFailuresRaiseNoAlert(t *testing.T) {
	recorder := filled(4, "depot", map[thburn.Class]int{thburn.Failed: 1})
	assert.Equal(t, len(alertsOf(recorder, firstMinute+3)), 0)
}

func TestMergeFindsWorstServedCustomerAndLimitsRows(t *testing.T) {
	var recorders []*thburn.Recorder
	for i := range 10 {
		recorders = append(recorders, filled(10, fmt.Sprintf("c%d", i), map[thburn.Class]int{thburn.Good: 100, thburn.Failed: i}))
	}
	r := merged(thburn.Query{Top: 3}, firstMinute+9, recorders...)
	assert.Equal(t, r.Worst.Customer, "c9")
	assert.Equal(t, len(r.Rows), 3)
	assert.Equal(t, r.LeftOut, 7)
	assert.Equal(t, r.Rows[0].Customer, "c9")
	assert.Equal(t, len(r.Services), 1)
	assert.Equal(t, r.Services[0].Windows[2].Counts, thburn.Counts{Good: 10_000, Failed: 450})
}

func TestMergeAddsRowsOfOneCustomerFromSeveralVMs(t *testing.T) {
	one := filled(10, "depot", map[thburn.Class]int{thburn.Good: 10})
	two := filled(10, "depot", map[thburn.Class]int{thburn.Refused: 1})
	r := merged(thburn.Query{Customer: "depot"}, firstMinute+9, one, two)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].Windows[2].Counts, thburn.Counts{Good: 100, Refused: 10})
	assert.DeepEqual(t, r.Rows[0].Kinds, []thburn.KindCount{{Kind: therror.QueueFull.String(), Count: 10}})
	assert.Equal(t, len(merged(thburn.Query{Customer: "another"}, firstMinute+9, one, two).Rows), 0)
}

func TestClassesMatchOutcomeAndStatusOfKinds(t *testing.T) {
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
	slowAnswer := thburn.Observation{Status: 200, Latency: 101e6}
	assert.Equal(t, thburn.Classify(slowAnswer, objective), thburn.Slow)
	assert.Equal(t, thburn.Classify(thburn.Observation{Status: 503}, objective), thburn.Failed)
}
