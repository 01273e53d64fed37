package thingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/io/thingress"

	"gotest.tools/v3/assert"
)

const (
	// longBodyBytes is more than a slow caller's system receives before the caller reads, and
	// less than the server's system holds for it.
	longBodyBytes = 2 << 20
	// blockingBodyBytes is more than both hold.
	blockingBodyBytes = 16 << 20
)

// dialSlowly connects with a small receive buffer, as over a slow link.
func (s *testServer) dialSlowly() *caller {
	s.t.Helper()
	c := s.dial()
	assert.NilError(s.t, c.Conn.(*net.TCPConn).SetReadBuffer(64<<10))
	return c
}

// TestLastAnswerArrivesWhole guards against a reset that truncates the answer with which
// the server ends a connection, if bytes of the caller arrive after it was written.
func TestLastAnswerArrivesWhole(t *testing.T) {
	const request = "GET /safe/long HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"
	for _, c := range []struct {
		name, text string
		prepare    func(s *thingress.Server)
		bodyBytes  int
		// pause is how long the caller does not read.
		pause  time.Duration
		status int
	}{
		{"stop", request + "\r\n", (*thingress.Server).Drain, longBodyBytes, 0, 200},
		{"stop that closes idle connections", request + "\r\n", (*thingress.Server).CloseIdle, longBodyBytes, 0, 200},
		{"the caller's own close", request + "Connection: close\r\n\r\n", nil, longBodyBytes, 0, 200},
		{"caller that reads late", request + "Connection: close\r\n\r\n", nil, blockingBodyBytes, 3 * time.Second, 200},
		{"refused body", "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 100000\r\n\r\n", nil, longBodyBytes, 0, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			s.forwarder.padding = strings.Repeat("x", c.bodyBytes)
			k := s.dialSlowly()
			answered := s.forwarder.hold("/safe/long")
			k.send(c.text)
			if c.status == 200 {
				expect(t, s.forwarder.started, "/safe/long")
			}
			if c.prepare != nil {
				c.prepare(s.server)
			}
			close(answered)
			first, err := k.br.Peek(1)
			assert.NilError(t, err, "%q", first)
			time.Sleep(50 * time.Millisecond) // lets the server write all of the answer and end the connection
			for range 5 {
				k.sendIfOpen(request + "\r\n")
				time.Sleep(5 * time.Millisecond) // a reset takes effect
			}
			time.Sleep(c.pause)
			r := k.readAnswer()
			assert.Equal(t, r.StatusCode(), c.status)
			assert.Assert(t, r.ConnectionClose())
			k.expectClosed()
		})
	}
}

// sendIfOpen sends text unless the server has reset the connection.
func (c *caller) sendIfOpen(text string) { _, _ = io.WriteString(c.Conn, text) }

// TestConnectionEndsWithoutCaller guards against a connection that stays open after its
// last answer because the caller does not close it.
func TestConnectionEndsWithoutCaller(t *testing.T) {
	t.Parallel()
	s := newTestServer(t)
	c := s.dial()
	c.get("/open/1", "Connection: close")
	assert.Equal(t, c.readAnswer().StatusCode(), 200)
	const bound = 11 * time.Second
	for until := time.Now().Add(bound); s.server.Connections() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the connection is open after %s", bound)
		c.sendIfOpen("x")
	}
}

// TestStopEndsConnectionWithPendingRequest guards against a stop in which a caller that
// always has a request pending keeps sending more, which are cut off when the process ends.
func TestStopEndsConnectionWithPendingRequest(t *testing.T) {
	const once = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\n\r\n"
	for _, c := range []struct {
		name, beforeStop, afterStop string
		// answers holds the bodies of the answers.
		answers []string
	}{
		{"nothing of the next request", "", "", []string{"answer to /safe/1"}},
		{"part of the next request", once + "he", "llo", []string{"answer to /safe/1", "answer to /once/1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t)
			first := s.forwarder.hold("/safe/1")
			k := s.dial()
			k.get("/safe/1")
			expect(t, s.forwarder.started, "/safe/1")
			k.send(c.beforeStop)
			time.Sleep(50 * time.Millisecond) // lets the server begin to read the next request
			s.server.CloseIdle()
			k.send(c.afterStop)
			for range 5 {
				k.get("/safe/late")
				time.Sleep(5 * time.Millisecond)
			}
			close(first)
			for i, body := range c.answers {
				r := k.readAnswer()
				assert.Equal(t, string(r.Body()), body)
				assert.Equal(t, r.ConnectionClose(), i == len(c.answers)-1)
			}
			k.expectClosed()
			s.forwarder.mu.Lock()
			defer s.forwarder.mu.Unlock()
			assert.Equal(t, len(s.forwarder.requests), len(c.answers), "a request sent after the stop was forwarded")
		})
	}
}

// TestRequestLateInStopIsRefused guards against requests that are passed on so late in a
// stop that the process ends before they are answered: those that are still being read, and
// those that wait for an answer, the VM's configuration or a token.
func TestRequestLateInStopIsRefused(t *testing.T) {
	const (
		head = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\n"
		// refuseAfter is the time from the stop on after which requests are refused.
		refuseAfter = 100 * time.Millisecond
	)
	for _, c := range []struct {
		name, text, beforeBody string
		wait                   thingress.Options
		// tokenWait is how long the customer's limit is asked for.
		tokenWait time.Duration
	}{
		{name: "head is being read", text: head},
		{name: "body is being read", text: head + "\r\nhe"},
		{name: "waits for the answer before it", beforeBody: "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n", text: head + "\r\nhello"},
		{name: "waits for the configuration", text: head + "\r\nhello", wait: thingress.Options{AwaitConfiguration: func(context.Context, time.Time) { time.Sleep(2 * refuseAfter) }}},
		{name: "waits for a token", text: head + "\r\nhello", tokenWait: 2 * refuseAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestServerWith(t, c.wait)
			s.forwarder.tokenWait = c.tokenWait
			first := s.forwarder.hold("/safe/1")
			k := s.dial()
			k.send(c.beforeBody + c.text)
			time.Sleep(20 * time.Millisecond) // lets the server begin to read
			refuseAt := time.Now().Add(refuseAfter)
			s.server.RefuseFrom(refuseAt)
			s.server.CloseIdle()
			if c.beforeBody != "" {
				time.Sleep(time.Until(refuseAt) + refuseAfter)
				close(first)
				assert.Equal(t, k.readAnswer().StatusCode(), 200)
			}
			r := k.readAnswer()
			assert.Equal(t, r.StatusCode(), 503)
			assert.Assert(t, r.ConnectionClose())
			assert.Assert(t, len(r.Header.Peek("Retry-After")) > 0)
			assert.Assert(t, time.Since(refuseAt) < time.Second, "refused %s late", time.Since(refuseAt))
			k.expectClosed()
			s.forwarder.mu.Lock()
			defer s.forwarder.mu.Unlock()
			for _, q := range s.forwarder.requests {
				assert.Assert(t, q.Route.IsIdempotent(), "%s was passed on", q.URI)
			}
		})
	}
}

// eventLog records the lines that are logged, as text.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *eventLog) Log(id thevent.ID, fields ...thevent.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprint(id, fields))
}

// TestRefusalOfUnreadRequestIsLogged guards against refusals that cannot be explained
// afterwards, because the request was not read whole.
func TestRefusalOfUnreadRequestIsLogged(t *testing.T) {
	log := &eventLog{}
	s := newTestServerWith(t, thingress.Options{Log: log})
	k := s.dial()
	k.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 5000\r\n\r\n")
	assert.Equal(t, k.readAnswer().StatusCode(), 413)
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Equal(t, len(log.lines), 1)
	assert.Assert(t, strings.HasPrefix(log.lines[0], fmt.Sprint(thevent.RequestRefused)))
	assert.Assert(t, strings.Contains(log.lines[0], "id-1"), log.lines[0])
}
