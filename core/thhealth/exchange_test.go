package thhealth_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
)

// TestCellsComeBack: a decoded cell is what was sent, within the coarseness of
// a coded count.
func TestCellsComeBack(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) <= 0.05*(1+a) }
	rapid.Check(t, func(t *rapid.T) {
		c := thhealth.Cell{
			Target: rapid.Uint32().Draw(t, "target"), Origin: rapid.Uint32().Draw(t, "origin"),
			Age:     time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * 50 * time.Millisecond,
			Suspect: rapid.Bool().Draw(t, "suspect"), Ejected: rapid.Bool().Draw(t, "ejected"), Leaving: rapid.Bool().Draw(t, "leaving"),
			Tally: thhealth.Tally{Short: drawCounts(t, 10000), Long: drawCounts(t, 10000)},
			Rest:  thhealth.Rest{Short: drawCounts(t, 10000), Long: drawCounts(t, 10000)},
		}
		back, err := thhealth.DecodeCells(thhealth.EncodeCells([]thhealth.Cell{c, c}))
		assert.NilError(t, err)
		assert.Equal(t, len(back), 2)
		for _, b := range back {
			assert.Equal(t, b.Target, c.Target)
			assert.Equal(t, b.Origin, c.Origin)
			assert.Equal(t, b.Age, c.Age)
			assert.DeepEqual(t, []bool{b.Suspect, b.Ejected, b.Leaving}, []bool{c.Suspect, c.Ejected, c.Leaving})
			for _, p := range [][2]thhealth.Counts{{c.Tally.Short, b.Tally.Short}, {c.Tally.Long, b.Tally.Long}, {c.Rest.Short, b.Rest.Short}, {c.Rest.Long, b.Rest.Long}} {
				assert.Assert(t, near(p[0].Requests, p[1].Requests) && near(p[0].Failed, p[1].Failed) && near(p[0].Slow, p[1].Slow) && near(p[0].Stalled, p[1].Stalled))
			}
		}
	})
}

func FuzzDecodeCells(f *testing.F) {
	f.Add(thhealth.EncodeCells([]thhealth.Cell{{Target: 1}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		cells, err := thhealth.DecodeCells(data)
		if err != nil {
			assert.Assert(t, therror.Is(err, therror.MessageMalformed))
			return
		}
		var r thhealth.Row
		for _, c := range cells {
			r.Receive(noon, c)
		}
		for _, v := range thhealth.Judge(thhealth.Policy{}, []thhealth.Sample{r.Sample(noon)}) {
			assert.Assert(t, !math.IsNaN(v.Severity))
		}
	})
}

// TestRowKeepsTheNewest: cells that come twice, late or in another order leave
// the same evidence.
func TestRowKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var newest, mixed thhealth.Row
		cells := map[uint32]thhealth.Cell{}
		var all []thhealth.Cell
		for i := range rapid.IntRange(1, 30).Draw(t, "cells") {
			c := thhealth.Cell{
				Origin: rapid.Uint32Range(1, 4).Draw(t, "origin"), Age: time.Duration(i) * 100 * time.Millisecond,
				Tally: thhealth.Tally{Short: thhealth.Counts{Requests: float64(i + 1)}},
			}
			all = append(all, c)
			if _, ok := cells[c.Origin]; !ok {
				cells[c.Origin] = c
				newest.Receive(noon, c)
			}
		}
		for _, i := range rapid.Permutation(indices(len(all))).Draw(t, "order") {
			mixed.Receive(noon, all[i])
			mixed.Receive(noon, all[i])
		}
		a, b := mixed.Sample(noon).Recent().Requests, newest.Sample(noon).Recent().Requests
		assert.Assert(t, math.Abs(a-b) < 1e-9, "%v, not %v", a, b)
	})
}

func indices(n int) []int {
	is := make([]int, n)
	for i := range is {
		is[i] = i
	}
	return is
}

// TestPacerKeepsTheBudget: however urgent the news, the exchanges that a VM
// begins stay within an eighth of 27 KB a second; it takes part in as many that
// others begin.
func TestPacerKeepsTheBudget(t *testing.T) {
	var p thhealth.Pacer
	const seconds, perMessage = 600, 2 * 24 * 36
	bytes, now := 0.0, noon
	for range seconds * 4 {
		now = now.Add(250 * time.Millisecond)
		var due bool
		if p, due = p.Next(now, true); due {
			p = p.WithExchange(perMessage)
			bytes += 600 + perMessage
		}
	}
	assert.Assert(t, bytes/seconds <= 27000/8, "%v bytes a second", bytes/seconds)
}
