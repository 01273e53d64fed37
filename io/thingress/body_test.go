package thingress_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thingress"

	"gotest.tools/v3/assert"
)

// newBodyServer returns a server with two customers whose requests may be long, and that
// holds at most limit bytes for callers.
func newBodyServer(t *testing.T, limit int64) *testServer {
	t.Helper()
	document := table().Document()
	document.Limits.HeaderBytes, document.Limits.BodyBytes = 16<<10, 1<<20
	document.Customers = append(document.Customers, thtable.Customer{Name: "d", Keys: []string{"other"}})
	s := newTestServerWith(t, thingress.Options{Table: func() thtable.Table { return thtable.New(document) }})
	s.server.LimitMemory(limit, 0)
	return s
}

// upload returns the head of a request with the key, and with a body of the given length or,
// if that is negative, in chunks.
func upload(key string, length int) string {
	field := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		field = "Transfer-Encoding: chunked"
	}
	return "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n" + field + "\r\n\r\n"
}

// TestBodiesFitInMemory guards against a VM that runs out of memory because a customer sends
// many large bodies at once, and against that customer taking the memory of all others.
func TestBodiesFitInMemory(t *testing.T) {
	const (
		// limit has room for the connections too.
		limit  = 1_000_000
		length = 270_000
		// fitting is how many bodies of that length fit into three quarters of the limit.
		fitting = 2
		// otherLength is what another customer still has room for.
		otherLength = 200_000
	)
	for _, c := range []struct {
		name, head, part string
	}{
		{"announced", upload("key", length), strings.Repeat("x", length-1)},
		{"in chunks", upload("key", -1), fmt.Sprintf("%x\r\n%s", length, strings.Repeat("x", length-1))},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBodyServer(t, limit)
			for range fitting {
				k := s.dial()
				k.send(c.head + c.part)
				time.Sleep(50 * time.Millisecond) // lets the server read the part
			}
			k := s.dial()
			k.send(c.head + c.part)
			r := k.readAnswer()
			assert.Equal(t, r.StatusCode(), 503)
			assert.Assert(t, r.ConnectionClose())
			assert.Assert(t, len(r.Header.Peek("Retry-After")) > 0)
			other := s.dial()
			other.send(upload("other", otherLength) + strings.Repeat("x", otherLength))
			assert.Equal(t, other.readAnswer().StatusCode(), 200)
			s.forwarder.mu.Lock()
			defer s.forwarder.mu.Unlock()
			assert.Equal(t, len(s.forwarder.requests), 1)
		})
	}
}

// TestBodyIsHeldUntilRequestEnds guards against bodies that stay counted, however their
// request ends, and against one that is not counted while its request is forwarded.
func TestBodyIsHeldUntilRequestEnds(t *testing.T) {
	const limit = 600_000 // room for one body of 300,000 bytes and a few connections
	body := strings.Repeat("x", 300_000)
	for _, c := range []struct {
		name string
		run  func(k *caller)
	}{
		{"answered", func(k *caller) {
			k.send(upload("key", len(body)) + body)
			assert.Equal(k.t, k.readAnswer().StatusCode(), 200)
		}},
		{"refused", func(k *caller) {
			k.send(upload("unknown", len(body)) + body)
			assert.Equal(k.t, k.readAnswer().StatusCode(), 401)
		}},
		{"caller leaves", func(k *caller) {
			k.send(upload("key", len(body)) + "x")
			assert.NilError(k.t, k.Close())
		}},
		{"chunks end early", func(k *caller) {
			k.send(upload("key", -1) + "2000\r\nx")
			assert.NilError(k.t, k.Close())
		}},
		{"damaged chunk", func(k *caller) {
			k.send(upload("key", -1) + "2\r\nxxxx")
			assert.Equal(k.t, k.readAnswer().StatusCode(), 400)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBodyServer(t, limit)
			for range 3 {
				c.run(s.dial())
				time.Sleep(20 * time.Millisecond) // lets the server notice that the caller has left
			}
			k := s.dial()
			k.send(upload("key", len(body)) + body)
			assert.Equal(t, k.readAnswer().StatusCode(), 200)
		})
	}
	t.Run("being forwarded", func(t *testing.T) {
		s := newBodyServer(t, limit)
		answered := s.forwarder.hold("/once/1")
		first := s.dial()
		first.send(upload("key", len(body)) + body)
		expect(t, s.forwarder.started, "/once/1")
		second := s.dial()
		second.send(upload("key", len(body)) + body)
		assert.Equal(t, second.readAnswer().StatusCode(), 503)
		close(answered)
		assert.Equal(t, first.readAnswer().StatusCode(), 200)
	})
}
