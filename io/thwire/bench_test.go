package thwire_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarackhollow/io/thwire"
)

type message struct {
	Text string `json:"text"`
}

// BenchmarkCall measures calls between a client and a server in one process:
// cpuMicros is the processor time of both sides together.
func BenchmarkCall(b *testing.B) {
	s := &thwire.Server{Credential: "peers-secret"}
	thwire.Handle(s, "/echo", func(_ thwire.Sender, q message) (message, error) { return q, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s.Start(l)
	b.Cleanup(func() { _ = s.Shutdown() })
	for _, size := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			c := thwire.NewClient(thwire.ClientOptions{Credential: "peers-secret", From: "vm-1"})
			q := message{strings.Repeat("x", size)}
			cpuBefore := cpuTime(b)
			for b.Loop() {
				if _, err := thwire.Call[message, message](context.Background(), c, l.Addr().String(), "/echo", q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "cpuMicros/op")
			stats := c.Stats()
			b.ReportMetric(float64(stats.HeaderBytes)/float64(stats.Calls), "headerB/op")
		})
	}
}

// cpuTime returns the user and system time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
