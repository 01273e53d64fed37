package thagree_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"
)

// counted counts the bytes of a listener's connections, both ways.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWire makes one question and answer over loopback; the processor
// time is that of both sides together.
func BenchmarkWire(b *testing.B) {
	for _, size := range []int{40, 115, 230, 460} {
		for _, brief := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/brief=%v", size, brief), func(b *testing.B) { wire(b, size, brief) })
		}
	}
}

func wire(b *testing.B, size int, brief bool) {
	b.Helper()
	vms := make([]throster.VM, size)
	for i := range vms {
		vms[i] = throster.VM{ID: fmt.Sprintf("vm-%03d", i), PeerAddress: "127.0.0.1:1", Zone: "a", Incarnation: 1}
	}
	n := throster.NewNode(vms[0])
	n.Advance(1, throster.NewRoster(1, vms))
	asker := throster.NewNode(vms[1])
	asker.Advance(1, throster.NewRoster(1, vms))
	s := &thwire.Server{Credential: credential}
	at := time.Now()
	thwire.Handle(s, "/agree/exchange", func(_ thwire.Sender, q throster.Question) (throster.Answer, error) {
		return n.Answer(thclock.At(time.Since(at)+time.Hour), q), nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var bytes atomic.Int64
	s.Start(counted{l, &bytes})
	defer func() { _ = s.Shutdown() }()
	client := thwire.NewClient(thwire.Identity{Credential: credential, From: vms[1].ID, Incarnation: 1})
	begin := processorTime(b)
	for b.Loop() {
		sent := thclock.At(time.Since(at) + time.Hour)
		q := asker.Ask()
		q.Brief = brief
		a, err := thwire.Call[throster.Question, throster.Answer](context.Background(), client, l.Addr().String(), "/agree/exchange", q)
		assert.NilError(b, err)
		asker.Answered(sent, a)
	}
	b.ReportMetric(float64(processorTime(b)-begin)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireB/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
