package thmemory_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmemory"

	"gotest.tools/v3/assert"
)

var (
	keyed   = thmemory.Owner{Customer: "c", HasKey: true}
	other   = thmemory.Owner{Customer: "d", HasKey: true}
	unknown = thmemory.Owner{}
	now     = thclock.At(0)
)

// holder is an entry of a test, in the order in which they are opened.
type holder struct {
	owner thmemory.Owner
	bytes int64
	phase thmemory.Phase
	// silent is how long it has not made progress.
	silent time.Duration
}

// TestWhoGivesWay guards against an order in which ordinary callers give way to those that fill the
// memory, and against requests that end though targets may run them.
func TestWhoGivesWay(t *testing.T) {
	const quarter = limit / 4
	for _, c := range []struct {
		name    string
		holders []holder
		asks    holder
		verdict thmemory.Verdict
		// victims are indexes of holders.
		victims []int
	}{
		{"there is room", []holder{{other, quarter, thmemory.Reading, time.Hour}}, holder{owner: keyed, bytes: quarter}, thmemory.Granted, nil},
		{"without a key first", []holder{{other, 2 * quarter, thmemory.Reading, time.Hour}, {unknown, quarter, thmemory.Reading, 0}}, holder{owner: keyed, bytes: quarter}, thmemory.Wait, []int{1}},
		{"without a key to nobody with one", []holder{{other, 3 * quarter, thmemory.Reading, time.Hour}}, holder{owner: unknown, bytes: quarter}, thmemory.Refused, nil},
		{"the slower", []holder{{other, quarter, thmemory.Reading, time.Second}, {other, quarter, thmemory.Reading, time.Minute}}, holder{owner: keyed, bytes: 2 * quarter}, thmemory.Wait, []int{1}},
		{"the larger", []holder{{other, quarter, thmemory.Reading, time.Second}, {other, 2 * quarter, thmemory.Reading, time.Second}}, holder{owner: keyed, bytes: quarter}, thmemory.Wait, []int{1}},
		{"not while it makes progress", []holder{{other, 3 * quarter, thmemory.Reading, 0}}, holder{owner: keyed, bytes: quarter}, thmemory.Refused, nil},
		{"not while it runs", []holder{{other, 3 * quarter, thmemory.Running, time.Hour}}, holder{owner: keyed, bytes: quarter}, thmemory.Refused, nil},
		{"the reserved part", []holder{{other, 3 * quarter, thmemory.Reading, 0}, {unknown, quarter * 3 / 4, thmemory.Running, 0}}, holder{owner: keyed, bytes: 4 << 10}, thmemory.Granted, nil},
		{"an answer that nobody reads", []holder{{other, 3 * quarter, thmemory.Writing, time.Second}}, holder{owner: keyed, bytes: quarter}, thmemory.Wait, []int{0}},
		{"only a customer's own beyond its part", []holder{{keyed, quarter, thmemory.Reading, time.Second}, {keyed, quarter, thmemory.Reading, 0}, {other, quarter / 2, thmemory.Reading, time.Hour}}, holder{owner: keyed, bytes: quarter}, thmemory.Wait, []int{0}},
		{"its own stalled request that makes its part large enough", []holder{{other, 5 * quarter / 2, thmemory.Running, 0}, {keyed, quarter * 3 / 5, thmemory.Reading, time.Second}}, holder{owner: keyed, bytes: quarter}, thmemory.Wait, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a thmemory.Account
			a.SetLimits(limit, 0)
			now := thclock.At(2 * time.Hour)
			var ids []thmemory.ID
			for _, h := range c.holders {
				then := thclock.At(2*time.Hour - h.silent)
				ids = append(ids, a.OpenRequest(then, 0, h.owner))
				verdict, _ := a.Charge(then, ids[len(ids)-1], h.bytes)
				assert.Equal(t, verdict, thmemory.Granted)
				assert.Assert(t, a.SetPhase(then, ids[len(ids)-1], h.phase))
			}
			id := a.OpenRequest(now, 0, c.asks.owner)
			verdict, victims := a.Charge(now, id, c.asks.bytes)
			assert.Equal(t, verdict, c.verdict)
			assert.Equal(t, len(victims), len(c.victims))
			for i, v := range victims {
				assert.Equal(t, v.ID, ids[c.victims[i]])
				assert.Assert(t, !a.SetPhase(now, v.ID, thmemory.Running))
				a.Close(v.ID)
			}
			if verdict == thmemory.Wait {
				verdict, _ = a.Charge(now, id, c.asks.bytes)
				assert.Equal(t, verdict, thmemory.Granted, "after the others gave way")
			}
		})
	}
}

// TestNumberOfConnectionsIsBounded guards against connections that take all descriptors, and against
// new callers that are shut out by connections that send nothing.
func TestNumberOfConnectionsIsBounded(t *testing.T) {
	var a thmemory.Account
	a.SetLimits(0, 2)
	first, _, _ := a.OpenConnection(thclock.At(0), 100)
	second, verdict, _ := a.OpenConnection(thclock.At(0), 100)
	assert.Equal(t, verdict, thmemory.Granted)
	_, verdict, _ = a.OpenConnection(thclock.At(100*time.Millisecond), 100)
	assert.Equal(t, verdict, thmemory.Refused)
	assert.Assert(t, a.SetPhase(thclock.At(time.Second), first, thmemory.Running))
	_, verdict, victims := a.OpenConnection(thclock.At(time.Minute), 100)
	assert.Equal(t, verdict, thmemory.Wait)
	assert.DeepEqual(t, victims, []thmemory.Victim{{ID: second, Phase: thmemory.Idle}})
	a.Close(second)
	_, verdict, _ = a.OpenConnection(thclock.At(time.Minute), 100)
	assert.Equal(t, verdict, thmemory.Granted)
}

// TestConnectionsHaveNoPart guards against connections that are bounded together as one customer's
// requests are, although their number has a bound of its own.
func TestConnectionsHaveNoPart(t *testing.T) {
	var a thmemory.Account
	a.SetLimits(limit, 0)
	_, verdict, _ := a.OpenConnection(now, limit*7/8)
	assert.Equal(t, verdict, thmemory.Granted)
}

// TestStalledRequestsGiveWayToNewConnections guards against new callers that are shut out while all
// connections are taken by requests that have stopped.
func TestStalledRequestsGiveWayToNewConnections(t *testing.T) {
	var a thmemory.Account
	a.SetLimits(0, 1)
	connection, _, _ := a.OpenConnection(now, 100)
	request := a.OpenRequest(now, connection, keyed)
	assert.Assert(t, a.SetPhase(now, connection, thmemory.Running))
	verdict, _ := a.Charge(now, request, 100)
	assert.Equal(t, verdict, thmemory.Granted)
	_, verdict, _ = a.OpenConnection(thclock.At(100*time.Millisecond), 100)
	assert.Equal(t, verdict, thmemory.Refused)
	for range 2 { // the second time it waits for the same one
		_, verdict, victims := a.OpenConnection(thclock.At(time.Second), 100)
		assert.Equal(t, verdict, thmemory.Wait)
		for _, v := range victims {
			assert.DeepEqual(t, v, thmemory.Victim{ID: request, Phase: thmemory.Reading})
			a.Close(request)
		}
	}
	a.Close(connection)
	_, verdict, _ = a.OpenConnection(thclock.At(time.Second), 100)
	assert.Equal(t, verdict, thmemory.Granted)
}

// FuzzAccount guards, over sequences of operations, against bytes below zero or beyond the limit, bytes
// that stay counted, and victims that must not give way.
func FuzzAccount(f *testing.F) {
	f.Add([]byte{0, 0, 1, 1, 2, 200, 2, 201, 5, 255, 2, 250, 3, 9, 4, 1})
	f.Add([]byte{1, 1, 2, 255, 1, 2, 2, 255, 5, 255, 1, 3, 2, 255, 2, 255, 6, 1, 2, 255})
	f.Fuzz(func(t *testing.T, script []byte) {
		var a thmemory.Account
		const connections, maxScript = 5, 1000 // longer scripts only take longer
		script = script[:min(len(script), maxScript)]
		a.SetLimits(limit, connections)
		held := map[thmemory.ID]int64{}
		phases := map[thmemory.ID]thmemory.Phase{}
		var ids []thmemory.ID
		now := thclock.At(0)
		check := func(asking thmemory.ID, victims []thmemory.Victim) {
			for _, v := range victims {
				_, known := held[v.ID]
				assert.Assert(t, known && v.ID != asking && v.Phase == phases[v.ID] && v.Phase != thmemory.Running, "%v", v)
			}
		}
		for ; len(script) >= 2; script = script[2:] {
			argument := int64(script[1])
			var id thmemory.ID
			if len(ids) > 0 {
				id = ids[int(argument)%len(ids)]
			}
			switch script[0] % 8 {
			case 0:
				opened, verdict, victims := a.OpenConnection(now, argument*100)
				check(opened, victims)
				if verdict == thmemory.Granted {
					ids, held[opened], phases[opened] = append(ids, opened), argument*100, thmemory.Idle
				}
			case 1:
				opened := a.OpenRequest(now, id, []thmemory.Owner{keyed, other, unknown}[argument%3])
				ids, held[opened], phases[opened] = append(ids, opened), 0, thmemory.Reading
			case 2:
				if len(ids) > 0 {
					id = ids[len(ids)-1]
				}
				verdict, victims := a.Charge(now, id, argument*1000)
				check(id, victims)
				if verdict == thmemory.Granted {
					held[id] += argument * 1000
				}
			case 3:
				a.Release(id, argument*500)
				if _, open := held[id]; open {
					held[id] -= min(held[id], argument*500)
				}
			case 4:
				a.Close(id)
				delete(held, id)
			case 5:
				now = now.Add(time.Duration(argument) * 10 * time.Millisecond)
			case 6:
				if phase := thmemory.Phase(script[1] >> 6); a.SetPhase(now, id, phase) {
					phases[id] = phase
				}
			case 7:
				a.Progress(now, id, argument*10)
			}
			var total int64
			for _, bytes := range held {
				total += bytes
			}
			assert.Equal(t, a.Used(), total)
			assert.Assert(t, total >= 0 && total <= limit && a.ConnectionBytes() <= total)
			assert.Assert(t, a.Connections() <= connections)
		}
		for id := range held {
			a.Close(id)
		}
		assert.Equal(t, a.Used()+a.ConnectionBytes()+int64(a.Connections()), int64(0))
	})
}

// TestBodyThatArrivesTooSlowlyIsEnded guards against callers that send single bytes or stop, and against an
// end of a body that is short, or large and steady.
func TestBodyThatArrivesTooSlowlyIsEnded(t *testing.T) {
	rule := thmemory.DefaultPaceRule
	for _, c := range []struct {
		name  string
		bytes int
		every time.Duration
		// endedAt is when the body is ended, 0 if it is not within a minute.
		endedAt time.Duration
	}{
		{"nothing", 0, time.Hour, 10 * time.Second},
		{"a byte a second", 1, time.Second, 10 * time.Second},
		{"a packet every two seconds", 1400, 2 * time.Second, 27 * time.Second},
		{"a slow line", 3000, time.Second, 0},
		{"with long gaps", 64 << 10, 9 * time.Second, 0},
		{"with too long gaps", 1 << 20, 11 * time.Second, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := thmemory.NewPace(thclock.At(0), rule)
			now := thclock.At(0)
			for next := c.every; ; next += c.every {
				deadline, ok := p.Deadline()
				assert.Assert(t, ok)
				if deadline.Before(thclock.At(next)) || next > time.Minute {
					now = deadline
					break
				}
				p = p.WithReceived(thclock.At(next), c.bytes)
			}
			if c.endedAt == 0 {
				assert.Assert(t, now.Mono > time.Minute, "ended after %s", now.Mono)
				return
			}
			assert.Assert(t, now.Mono >= c.endedAt && now.Mono < c.endedAt+time.Second, "ended after %s", now.Mono)
		})
	}
}
