package thgossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// newView returns a VM's view with the given number of targets, ten to a service.
func newView(id string, targets int) *thview.View {
	v := thview.New(thview.Options{
		Self:            thfleet.Identity{ID: id, Zone: "z", Address: "10.0.0.1:1"},
		RetryBudgetRule: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}, FloorShare: 0.7,
		StartMillis: 1_700_000_000_000, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var ts []thtable.Target
	for i := range targets {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("s%d", i/10), Zone: "z", Slots: 4})
	}
	v.SetTargets(thclock.At(time.Hour), ts)
	v.SetTable(thtable.New(thtable.Document{Customers: []thtable.Customer{{Name: "c", Rate: 1e6, Burst: 1e6}}}))
	return v
}

// BenchmarkRequest measures one VM picking a target for a request and finishing
// it, and another VM receiving the two notices this causes. It reports the mean
// size of a notice.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{30, 270, 4800} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			sender, receiver := newView("vm-1", targets), newView("vm-2", targets)
			bytes := 0
			deliver := func(now thclock.Instant) {
				for _, o := range sender.TakeNotices(now) {
					data, err := cbor.Marshal(o.Notice)
					assert.NilError(b, err)
					bytes += len(data)
					var n thfleet.Notice
					assert.NilError(b, cbor.Unmarshal(data, &n))
					receiver.Receive(now, n)
				}
			}
			customer := thtable.Customer{Name: "c", Rate: 1e6, Burst: 1e6}
			for i := range b.N {
				now := thclock.At(time.Hour + time.Duration(i)*time.Millisecond)
				q := &thmessage.Request{
					Customer: customer, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
					Route: thtable.Route{Name: "r", MaxAttempts: 1, LatencyObjectiveMillis: 1000},
				}
				sender.BeginAdmission(now, customer, q.Route)
				p, refusal := sender.Pick(now, q, fmt.Sprintf("s%d", i%max(1, targets/10)), nil, false)
				assert.Assert(b, refusal == nil)
				deliver(now)
				sender.Finish(now.Add(time.Millisecond), p, q, thhealth.Answered, time.Millisecond)
				deliver(now.Add(time.Millisecond))
			}
			b.ReportMetric(float64(bytes)/float64(2*b.N), "B/notice")
		})
	}
}
