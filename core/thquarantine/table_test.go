package thquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thquarantine"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func key(customer string, n int) thquarantine.Key {
	return thquarantine.KeyOf(&thmessage.Request{
		Customer: thtable.Customer{Name: customer}, Method: "POST", URI: "/proofs", Body: thmessage.Body{fmt.Append(nil, n)},
	})
}

func at(d time.Duration) thclock.Instant { return thclock.At(1000*time.Hour + d) }

// crash has the request crash the target, which is confirmed 100 ms later.
func crash(t *thquarantine.Table, when time.Duration, k thquarantine.Key, target string) {
	t.RecordConnectionClosed(at(when), k, target, false)
	t.RecordConnectionRefused(at(when+100*time.Millisecond), target)
}

func TestThreeConfirmedCrashesQuarantineARequest(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	crash(&table, 0, k, "a")
	assert.Assert(t, !table.IsQuarantined(at(time.Second), k))
	crash(&table, 3*time.Second, k, "b")
	assert.Assert(t, !table.IsQuarantined(at(4*time.Second), k))
	crash(&table, 5*time.Second, k, "c")
	assert.Assert(t, table.IsQuarantined(at(6*time.Second), k))
	assert.Assert(t, !table.IsQuarantined(at(6*time.Second), key("guild", 2)))
	assert.Assert(t, !table.IsQuarantined(at(6*time.Second), key("other", 1)))
	assert.Assert(t, table.IsQuarantined(at(5*time.Second+10*time.Minute-1), k))
	assert.Assert(t, !table.IsQuarantined(at(5*time.Second+10*time.Minute), k))
	crash(&table, 11*time.Minute, k, "a")
	assert.Assert(t, table.IsQuarantined(at(30*time.Minute), k), "the quarantine does not grow with the fourth crash")
}

// TestReportsOfOneCrashCountOnce guards against a crash that several VMs see
// quarantining the request by itself.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	for i := range 4 {
		crash(&table, time.Duration(i)*100*time.Millisecond, k, "a")
	}
	assert.Assert(t, !table.IsQuarantined(at(2*time.Second), k))
}

// TestCrashesOfOneTargetCountSeparately has one target restart and crash again
// after 800 ms. It guards against merging crashes that are more than 500 ms
// apart.
func TestCrashesOfOneTargetCountSeparately(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	for i := range 3 {
		crash(&table, time.Duration(i)*800*time.Millisecond, k, "a")
	}
	assert.Assert(t, table.IsQuarantined(at(2*time.Second), k))
}

// TestUnconfirmedCrashesOfTwoTargetsDoNotQuarantine guards against blaming the
// request for a fault of one or two targets or of the network path to them.
func TestUnconfirmedCrashesOfTwoTargetsDoNotQuarantine(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	for i := range 6 {
		table.RecordConnectionClosed(at(time.Duration(i)*10*time.Second), k, []string{"a", "b"}[i%2], false)
	}
	assert.Assert(t, !table.IsQuarantined(at(time.Minute), k))
	table.RecordConnectionClosed(at(time.Minute), k, "c", false)
	assert.Assert(t, table.IsQuarantined(at(time.Minute), k))
}

// TestCrashesDuringAnswersCountOnlyIfConfirmed guards against quarantining requests
// whose answers are malformed though no target crashes.
func TestCrashesDuringAnswersCountOnlyIfConfirmed(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	for i, target := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		table.RecordConnectionClosed(at(time.Duration(i)*10*time.Second), k, target, true)
	}
	assert.Assert(t, !table.IsQuarantined(at(time.Minute), k), "connections that closed during answers are no crashes unless confirmed")
	for i, target := range []string{"a", "b", "c"} {
		when := time.Hour + time.Duration(i)*10*time.Second
		table.RecordConnectionClosed(at(when), k, target, true)
		table.RecordConnectionRefused(at(when+time.Second), target)
	}
	assert.Assert(t, table.IsQuarantined(at(time.Hour+time.Minute), k))
}

func TestAnswerClearsEarlierCrashes(t *testing.T) {
	var table thquarantine.Table
	k := key("guild", 1)
	crash(&table, 0, k, "a")
	assert.Assert(t, table.RecordAnswer(at(time.Second), k))
	crash(&table, 2*time.Second, k, "b")
	crash(&table, 5*time.Second, k, "c")
	assert.Assert(t, !table.IsQuarantined(at(6*time.Second), k))
	assert.Assert(t, !table.RecordAnswer(at(0), key("guild", 2)))
}

func TestTableEvictsLeastRelevantSuspects(t *testing.T) {
	var table thquarantine.Table
	first := key("guild", -1)
	crash(&table, 0, first, "a")
	crash(&table, 3*time.Second, first, "b")
	crash(&table, 5*time.Second, first, "c")
	for i := range 1500 {
		table.RecordConnectionClosed(at(6*time.Second), key(fmt.Sprint("customer", i%40), i), "a", false)
	}
	assert.Equal(t, table.Len(), 512)
	assert.Assert(t, table.IsQuarantined(at(6*time.Second), first), "the suspect with the largest weight was evicted")
	table.Sweep(at(48 * time.Hour))
	assert.Equal(t, table.Len(), 0)
}

// TestVMsAgreeDespiteReordering has one VM receive a report of each crash a second
// time, up to 100 ms late, and another receive only the late one. It guards
// against VMs that saw the same crashes and answers, but at slightly different
// times, disagreeing on the quarantine.
func TestVMsAgreeDespiteReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := key("guild", 1)
		var twice, late thquarantine.Table
		end := time.Minute
		for i := range rapid.IntRange(1, 8).Draw(t, "events") {
			target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			when := time.Duration(i) * 5 * time.Second
			delay := time.Duration(rapid.IntRange(0, 100).Draw(t, "late")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				twice.RecordAnswer(at(when), k)
				late.RecordAnswer(at(when), k)
				continue
			}
			crash(&twice, when, k, target)
			crash(&twice, when+delay, k, target)
			crash(&late, when+delay, k, target)
		}
		assert.Equal(t, twice.IsQuarantined(at(end), k), late.IsQuarantined(at(end), k))
	})
}
