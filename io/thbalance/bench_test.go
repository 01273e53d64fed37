package thbalance_test

import (
	"context"
	"testing"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thbalance"
)

// BenchmarkForward measures what Forward adds to an attempt that takes no time.
func BenchmarkForward(b *testing.B) {
	s := service(10)
	c := thconfig.Config{}
	f := thbalance.New(thbalance.Options{
		Self:   throster.VM{ID: "vm1"},
		Config: func() thconfig.Config { return c },
		Sender: senderFunc(func(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
			now := thclock.System{}.Now()
			return threquest.Attempt{Target: target, Sent: true, Answer: &threquest.Answer{Status: 200}, Began: now, Ended: now}
		}),
	})
	q := request(s, "GET", "depot")
	q.Deadline = thclock.System{}.Now().Add(3600e9)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Forward(context.Background(), q); err != nil {
			b.Fatal(err)
		}
	}
}
