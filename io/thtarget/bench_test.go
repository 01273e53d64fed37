package thtarget_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"tamarackhollow/core/threquest"

	"github.com/valyala/fasthttp"
)

// serveFast answers at full speed over the HTTP library's own server.
func serveFast(b *testing.B, body string) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString(body) }}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// BenchmarkSend compares Send with the HTTP library's client over loopback.
// Both are in one run, so that their ratio carries over to other machines.
func BenchmarkSend(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"100B", 100}, {"64KiB", 64 << 10}} {
		address := serveFast(b, strings.Repeat("x", size.bytes))
		b.Run("direct/"+size.name, func(b *testing.B) {
			c := fasthttp.HostClient{Addr: address}
			b.ReportAllocs()
			for b.Loop() {
				q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				q.SetRequestURI("http://" + address + "/stock")
				q.Header.Set("Accept", "application/json")
				if err := c.DoTimeout(q, r, patience); err != nil {
					b.Fatal(err)
				}
				fasthttp.ReleaseRequest(q)
				fasthttp.ReleaseResponse(r)
			}
		})
		b.Run("send/"+size.name, func(b *testing.B) {
			c := newClient()
			defer c.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				q := newRequest("r1", "GET", patience)
				q.Headers = []threquest.Header{{Name: "Accept", Value: "application/json"}}
				if a := c.Send(ctx, address, q); a.Err != nil {
					b.Fatal(a.Err)
				}
			}
		})
	}
}
