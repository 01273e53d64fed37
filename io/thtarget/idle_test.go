package thtarget_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// serveTogether answers requests once all have come, with as little memory of
// its own as can be.
func serveTogether(l net.Listener, all int) {
	var together sync.WaitGroup
	together.Add(all)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			var b [1024]byte
			if _, err := c.Read(b[:]); err != nil {
				return
			}
			together.Done()
			together.Wait()
			_, _ = io.WriteString(c, okAnswer)
			_, _ = c.Read(b[:])
			_ = c.Close()
		}()
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIdleConnections reports the memory of a kept connection, both ends
// together, beside that of a plain connection.
func BenchmarkIdleConnections(b *testing.B) {
	const all = 1000
	for _, way := range []string{"plain", "kept"} {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				go serveTogether(l, all)
				c := newClient()
				conns := make([]net.Conn, all)
				before := heap()
				var wait sync.WaitGroup
				for i := range all {
					wait.Go(func() {
						if way == "plain" {
							conns[i], _ = net.Dial("tcp", l.Addr().String())
							_, _ = io.WriteString(conns[i], "x")
							_, _ = io.ReadFull(conns[i], make([]byte, len(okAnswer)))
							return
						}
						q := newRequest(fmt.Sprint(i), "GET", patience)
						q.Service.Connections = all
						_ = c.Send(b.Context(), l.Addr().String(), q)
					})
				}
				wait.Wait()
				b.ReportMetric(float64(heap()-before)/all, "heapB/conn")
				c.Close()
				for _, n := range conns {
					if n != nil {
						_ = n.Close()
					}
				}
				_ = l.Close()
			}
		})
	}
}
