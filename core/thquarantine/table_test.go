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
		Customer: thtable.Customer{Name: customer}, Method: "POST", URI: "/proofs", Body: fmt.Append(nil, n),
	})
}

func at(d time.Duration) thclock.Instant { return thclock.At(1000*time.Hour + d) }

// die has the target die of the request.
func die(t *thquarantine.Table, when time.Duration, k thquarantine.Key, target string) {
	t.RecordConnectionClosed(at(when), k, target, false)
	t.RecordConnectionRefused(at(when+100*time.Millisecond), target)
}

func TestThreeDeathsAreEnough(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	die(&b, 0, k, "a")
	assert.Assert(t, !b.IsQuarantined(at(time.Second), k))
	die(&b, 3*time.Second, k, "b")
	assert.Assert(t, !b.IsQuarantined(at(4*time.Second), k))
	die(&b, 5*time.Second, k, "c")
	assert.Assert(t, b.IsQuarantined(at(6*time.Second), k))
	assert.Assert(t, !b.IsQuarantined(at(6*time.Second), key("guild", 2)))
	assert.Assert(t, !b.IsQuarantined(at(6*time.Second), key("other", 1)))
	assert.Assert(t, b.IsQuarantined(at(5*time.Second+10*time.Minute-1), k))
	assert.Assert(t, !b.IsQuarantined(at(5*time.Second+10*time.Minute), k))
	die(&b, 11*time.Minute, k, "a")
	assert.Assert(t, b.IsQuarantined(at(30*time.Minute), k), "the hold does not grow")
}

func TestOneDeathSeenTwiceIsOne(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	for i := range 4 {
		die(&b, time.Duration(i)*100*time.Millisecond, k, "a")
	}
	assert.Assert(t, !b.IsQuarantined(at(2*time.Second), k))
}

// TestOneTargetMayDieAgain has the same target come back soon and die again.
func TestOneTargetMayDieAgain(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	for i := range 3 {
		die(&b, time.Duration(i)*800*time.Millisecond, k, "a")
	}
	assert.Assert(t, b.IsQuarantined(at(2*time.Second), k))
}

func TestCutsAloneNeedSeveralTargets(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	for i := range 6 {
		b.RecordConnectionClosed(at(time.Duration(i)*10*time.Second), k, []string{"a", "b"}[i%2], false)
	}
	assert.Assert(t, !b.IsQuarantined(at(time.Minute), k))
	b.RecordConnectionClosed(at(time.Minute), k, "c", false)
	assert.Assert(t, b.IsQuarantined(at(time.Minute), k))
}

func TestCutAnswersCountOnceConfirmed(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	for i, target := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		b.RecordConnectionClosed(at(time.Duration(i)*10*time.Second), k, target, true)
	}
	assert.Assert(t, !b.IsQuarantined(at(time.Minute), k), "wrong answers are no deaths")
	for i, target := range []string{"a", "b", "c"} {
		when := time.Hour + time.Duration(i)*10*time.Second
		b.RecordConnectionClosed(at(when), k, target, true)
		b.RecordConnectionRefused(at(when+time.Second), target)
	}
	assert.Assert(t, b.IsQuarantined(at(time.Hour+time.Minute), k))
}

func TestAnAnswerClears(t *testing.T) {
	var b thquarantine.Table
	k := key("guild", 1)
	die(&b, 0, k, "a")
	assert.Assert(t, b.RecordAnswer(at(time.Second), k))
	die(&b, 2*time.Second, k, "b")
	die(&b, 5*time.Second, k, "c")
	assert.Assert(t, !b.IsQuarantined(at(6*time.Second), k))
	assert.Assert(t, !b.RecordAnswer(at(0), key("guild", 2)))
}

func TestTableIsBounded(t *testing.T) {
	var b thquarantine.Table
	first := key("guild", -1)
	die(&b, 0, first, "a")
	die(&b, 3*time.Second, first, "b")
	die(&b, 5*time.Second, first, "c")
	for i := range 1500 {
		b.RecordConnectionClosed(at(6*time.Second), key(fmt.Sprint("customer", i%40), i), "a", false)
	}
	assert.Equal(t, b.Len(), 512)
	assert.Assert(t, b.IsQuarantined(at(6*time.Second), first), "one that weighs more was dropped")
	b.Sweep(at(48 * time.Hour))
	assert.Equal(t, b.Len(), 0)
}

// TestNewsInAnyOrder has VMs tell each other of deaths and answers, which reach
// them in different orders a little apart.
func TestNewsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := key("guild", 1)
		var forth, back thquarantine.Table
		end := time.Minute
		for i := range rapid.IntRange(1, 8).Draw(t, "events") {
			target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			when := time.Duration(i) * 5 * time.Second
			late := time.Duration(rapid.IntRange(0, 100).Draw(t, "late")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				forth.RecordAnswer(at(when), k)
				back.RecordAnswer(at(when), k)
				continue
			}
			die(&forth, when, k, target)
			die(&forth, when+late, k, target)
			die(&back, when+late, k, target)
		}
		assert.Equal(t, forth.IsQuarantined(at(end), k), back.IsQuarantined(at(end), k))
	})
}
