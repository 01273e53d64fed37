package thingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thingress"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of these tests; it is reached only if a test
// fails.
const testTimeout = 10 * time.Second

// fakeForwarder answers requests at once, or on release if their path is held.
type fakeForwarder struct {
	mu       sync.Mutex
	requests []*thmessage.Request
	// started and cancelled receive the URIs of requests.
	started   chan string
	cancelled chan string
	// held holds, by URI, channels that are closed to release the requests.
	held map[string]chan struct{}
	// refusal, if not nil, is returned for every request.
	refusal *thingress.Refusal
	// padding is appended to the body of each answer.
	padding string
	// tokenWait is how long Admit takes.
	tokenWait time.Duration
}

func newFakeForwarder() *fakeForwarder {
	return &fakeForwarder{started: make(chan string, 64), cancelled: make(chan string, 64), held: make(map[string]chan struct{})}
}

func (f *fakeForwarder) Admit(c thtable.Customer, _ thtable.Route) *thingress.Refusal {
	time.Sleep(f.tokenWait)
	if c.Name == "over" {
		return &thingress.Refusal{Err: therror.New(therror.OverLimit, "over"), RetryAfter: 1500 * time.Millisecond}
	}
	return nil
}

// hold makes requests for the path wait until the returned channel is closed.
func (f *fakeForwarder) hold(path string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan struct{})
	f.held[path] = c
	return c
}

func (f *fakeForwarder) Forward(ctx context.Context, q *thmessage.Request) (*thmessage.Answer, *thingress.Refusal) {
	f.mu.Lock()
	f.requests = append(f.requests, q)
	held := f.held[q.URI]
	f.mu.Unlock()
	f.started <- q.URI
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			f.cancelled <- q.URI
			return nil, &thingress.Refusal{Err: therror.New(therror.CallerGone, "gone")}
		}
	}
	if f.refusal != nil {
		return nil, f.refusal
	}
	return &thmessage.Answer{Status: 200, Header: []thmessage.HeaderField{{Name: "X-Stamp", Value: "s"}}, Body: []byte("answer to " + q.URI + f.padding)}, nil
}

func table() thtable.Table {
	return thtable.New(thtable.Document{
		Version: 1, RequiresKey: true,
		Routes: []thtable.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Safety: thtable.Idempotent, TimeoutMillis: 5000},
			{Name: "once", Host: "h", Prefix: "/once/", Safety: thtable.AtMostOnce, TimeoutMillis: 5000},
			{Name: "open", Host: "h", Prefix: "/open/", Safety: thtable.Idempotent, Open: true},
		},
		Customers: []thtable.Customer{{Name: "c", Keys: []string{"key"}}, {Name: "over", Keys: []string{"greedy"}}},
		Limits:    thtable.Limits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeoutMillis: 300, IdleTimeoutMillis: 60_000},
	})
}

// testServer is a server on a local port with a fake forwarder.
type testServer struct {
	t         *testing.T
	server    *thingress.Server
	forwarder *fakeForwarder
	address   string
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	return newTestServerWith(t, thingress.Options{})
}

// newTestServerWith returns a server with the options, as far as they are set.
func newTestServerWith(t *testing.T, o thingress.Options) *testServer {
	t.Helper()
	s := &testServer{t: t, forwarder: newFakeForwarder()}
	if o.Table == nil {
		o.Table = table
	}
	o.Forwarder, o.Clock = s.forwarder, thclock.System{}
	o.HeaderNames = thmessage.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", ReservedPrefix: "X-Own-"}
	s.server = thingress.New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	go s.server.Serve(l)
	t.Cleanup(s.server.CloseIdle)
	return s
}

// caller is a client connection to a test server.
type caller struct {
	net.Conn
	t  *testing.T
	br *bufio.Reader
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	assert.NilError(s.t, nc.SetDeadline(time.Now().Add(testTimeout)))
	s.t.Cleanup(func() { _ = nc.Close() })
	return &caller{nc, s.t, bufio.NewReader(nc)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

func (c *caller) get(path string, fields ...string) {
	c.t.Helper()
	c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n")
}

func (c *caller) readAnswer() *fasthttp.Response {
	c.t.Helper()
	r := &fasthttp.Response{}
	assert.NilError(c.t, r.Read(c.br))
	return r
}

// expectClosed fails the test unless the server closes the connection.
func (c *caller) expectClosed() {
	c.t.Helper()
	_, err := c.br.ReadByte()
	isOpen := err == nil || errors.Is(err, os.ErrDeadlineExceeded)
	assert.Assert(c.t, !isOpen, "the connection is still open: %v", err)
}

// expect waits for a value from the channel and compares it.
func expect(t *testing.T, from <-chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		assert.Equal(t, got, want)
	case <-time.After(testTimeout):
		t.Fatalf("%s was not received", want)
	}
}

// TestPipelinedRequestsAreAnsweredInOrder guards against answers that reach the
// wrong request, and against pipelined idempotent requests that wait for each
// other.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := newTestServer(t)
	first := s.forwarder.hold("/safe/1")
	c := s.dial()
	c.get("/safe/1")
	c.get("/safe/2")
	started := map[string]bool{<-s.forwarder.started: true, <-s.forwarder.started: true}
	assert.Assert(t, started["/safe/1"] && started["/safe/2"])
	close(first)
	assert.Equal(t, string(c.readAnswer().Body()), "answer to /safe/1")
	assert.Equal(t, string(c.readAnswer().Body()), "answer to /safe/2")
}

// TestNonIdempotentRequestWaitsForPreviousAnswer guards against running a
// pipelined request whose answer cannot be delivered because the answer before it
// closes the connection.
func TestNonIdempotentRequestWaitsForPreviousAnswer(t *testing.T) {
	s := newTestServer(t)
	first := s.forwarder.hold("/safe/1")
	c := s.dial()
	c.get("/safe/1")
	expect(t, s.forwarder.started, "/safe/1")
	c.get("/once/2")
	select {
	case path := <-s.forwarder.started:
		t.Fatalf("%s was forwarded before the previous answer was written", path)
	case <-time.After(50 * time.Millisecond):
	}
	close(first)
	expect(t, s.forwarder.started, "/once/2")
}

// TestRequestIsCancelledWhenCallerLeaves guards against forwarding requests whose
// caller has closed the connection.
func TestRequestIsCancelledWhenCallerLeaves(t *testing.T) {
	for _, fields := range [][]string{nil, {"Connection: close"}} {
		t.Run(fmt.Sprint(fields), func(t *testing.T) {
			s := newTestServer(t)
			s.forwarder.hold("/safe/1")
			c := s.dial()
			c.get("/safe/1", fields...)
			expect(t, s.forwarder.started, "/safe/1")
			assert.NilError(t, c.Close())
			expect(t, s.forwarder.cancelled, "/safe/1")
		})
	}
}

// TestRefusedRequestsAreNotForwarded guards against forwarding requests that are
// malformed, too large, too slow, unauthenticated, without a route or over the
// rate limit.
func TestRefusedRequestsAreNotForwarded(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"unknown key", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n", 401},
		{"no key", "GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n", 401},
		{"two keys", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nAuthorization: Bearer key\r\n\r\n", 400},
		{"no route", "GET /none/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n", 404},
		{"over the rate limit", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer greedy\r\n\r\n", 429},
		{"body over the limit", "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 2000\r\n\r\n", 413},
		{"header over the limit", "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		{"slow header", "GET /safe/ HTTP/1.1\r\nHost: h\r\n", 408},
		{"bytes that are not HTTP", "\x01\x02 nonsense\r\n\r\n", 400},
		{"chunked with a Content-Length", "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
		{"invalid deadline", "GET /open/ HTTP/1.1\r\nHost: h\r\nX-Deadline: soon\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t)
			k := s.dial()
			k.send(c.text)
			r := k.readAnswer()
			assert.Equal(t, r.StatusCode(), c.status)
			if c.status == 429 {
				assert.Equal(t, string(r.Header.Peek("Retry-After")), "1.500")
			}
			s.forwarder.mu.Lock()
			defer s.forwarder.mu.Unlock()
			assert.Equal(t, len(s.forwarder.requests), 0)
		})
	}
}

// TestForwardedRequestHasOnlyAllowedFields guards against passing on the
// customer's key, forged reserved fields and fields of the caller's connection.
func TestForwardedRequestHasOnlyAllowedFields(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	c.get("/safe/1?q=%20x", "X-Own-Tenant: forged", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 1", "X-Id: id-1", "X-Deadline: 700")
	assert.Equal(t, c.readAnswer().StatusCode(), 200)
	q := s.forwarder.requests[0]
	assert.Equal(t, q.URI, "/safe/1?q=%20x")
	assert.Equal(t, q.ID, "id-1")
	assert.Equal(t, q.Customer.Name, "c")
	assert.Equal(t, q.Deadline.Sub(q.Arrived), 700*time.Millisecond)
	for _, f := range q.Header {
		assert.Assert(t, f.Name == "X-Kept" || f.Name == "X-Id" || f.Name == "X-Deadline", f.Name)
	}
}

// TestChunkedBodyIsReadWhole guards against losing chunks of a request body.
func TestChunkedBodyIsReadWhole(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	c.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	assert.Equal(t, c.readAnswer().StatusCode(), 200)
	assert.Equal(t, string(s.forwarder.requests[0].Body.Bytes()), "hello world")
}

// TestDrainAnswersRequestsInFlight guards against a drain that loses requests: those
// in flight, and those sent before the caller has noticed the drain.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	s := newTestServer(t)
	held := s.forwarder.hold("/safe/1")
	idle, busy := s.dial(), s.dial()
	idle.get("/open/1")
	idle.readAnswer()
	expect(t, s.forwarder.started, "/open/1")
	busy.get("/safe/1")
	expect(t, s.forwarder.started, "/safe/1")
	s.server.Drain()
	idle.get("/open/2") // a caller that has not noticed the drain is still served
	r := idle.readAnswer()
	assert.Equal(t, r.StatusCode(), 200)
	assert.Assert(t, r.ConnectionClose())
	idle.expectClosed()
	s.server.CloseIdle()
	close(held)
	r = busy.readAnswer()
	assert.Equal(t, string(r.Body()), "answer to /safe/1")
	assert.Assert(t, r.ConnectionClose())
	busy.expectClosed()
}

// TestDrainClosesAfterLastPipelinedAnswer guards against a drain that closes a
// connection before all its pipelined requests are answered.
func TestDrainClosesAfterLastPipelinedAnswer(t *testing.T) {
	s := newTestServer(t)
	first := s.forwarder.hold("/safe/1")
	second := s.forwarder.hold("/safe/2")
	c := s.dial()
	c.get("/safe/1")
	c.get("/safe/2")
	<-s.forwarder.started
	<-s.forwarder.started
	s.server.Drain()
	close(first)
	assert.Assert(t, !c.readAnswer().ConnectionClose())
	close(second)
	assert.Assert(t, c.readAnswer().ConnectionClose())
}

// TestRequestBeingReadDuringCloseIdleIsAnswered guards against closing a
// connection on which part of a request has been received.
func TestRequestBeingReadDuringCloseIdleIsAnswered(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	c.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\n\r\nhe")
	time.Sleep(20 * time.Millisecond) // lets the server start reading; if it starts later, the test still passes
	s.server.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		s.server.WaitClosed(ctx)
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("WaitClosed returned while a request was being read")
	case <-time.After(50 * time.Millisecond):
	}
	c.send("llo")
	assert.Equal(t, c.readAnswer().StatusCode(), 200)
	<-closed
	assert.NilError(t, ctx.Err())
}

// answerBeforeReaderReturns sends a request whose answer is written before the
// connection's reader waits for the next request. The reader waits for release.
func answerBeforeReaderReturns(t *testing.T, prepare func(s *thingress.Server)) (s *testServer, a *fasthttp.Response, release func()) {
	t.Helper()
	released := make(chan struct{})
	s = newTestServerWith(t, thingress.Options{Submit: func(task func()) error {
		task()
		<-released
		return nil
	}})
	prepare(s.server)
	c := s.dial()
	c.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n")
	return s, c.readAnswer(), func() { close(released) }
}

// TestCloseIdleClosesConnectionAnsweredBeforeReaderReturns guards against a
// connection that stays open after CloseIdle: when CloseIdle runs, the answer has
// been written, but the reader does not wait for the next request yet.
func TestCloseIdleClosesConnectionAnsweredBeforeReaderReturns(t *testing.T) {
	s, a, release := answerBeforeReaderReturns(t, func(*thingress.Server) {})
	assert.Equal(t, a.StatusCode(), 200)
	s.server.CloseIdle()
	release()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.server.WaitClosed(ctx)
	assert.NilError(t, ctx.Err())
}

// TestDrainAnnouncesCloseBeforeReaderReturns guards against an answer during a
// drain without "Connection: close" because it is written before the reader waits
// for the next request.
func TestDrainAnnouncesCloseBeforeReaderReturns(t *testing.T) {
	_, a, release := answerBeforeReaderReturns(t, (*thingress.Server).Drain)
	release()
	assert.Assert(t, a.ConnectionClose())
}

// A VM that has just started is ready within half a second. A caller that it refuses must
// be able to return in time for an objective of 0.8 s, the shortest on the platform.
func TestCallersReturnSoonToVMThatStarts(t *testing.T) {
	s := newTestServerWith(t, thingress.Options{Table: func() thtable.Table { return thtable.Table{} }})
	c := s.dial()
	c.get("/safe/1")
	r := c.readAnswer()
	assert.Equal(t, r.StatusCode(), 503)
	retryAfter, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > 0 && retryAfter <= 0.5, "Retry-After is %g s", retryAfter)
}

// A VM that starts gets its configuration within a fraction of the time after which a refused
// caller would come back. The time that a request waits is part of its deadline.
func TestRequestWaitsForConfigurationOfVMThatStarts(t *testing.T) {
	const startTime = 100 * time.Millisecond
	var configured atomic.Bool
	s := newTestServerWith(t, thingress.Options{
		Table: func() thtable.Table {
			if configured.Load() {
				return table()
			}
			return thtable.Table{}
		},
		AwaitConfiguration: func(context.Context, time.Time) {
			if !configured.Load() {
				time.Sleep(startTime)
				configured.Store(true)
			}
		},
	})
	c := s.dial()
	c.get("/safe/1")
	assert.Equal(t, c.readAnswer().StatusCode(), 200)
	q := s.forwarder.requests[0]
	left := q.Deadline.Sub(thclock.System{}.Now())
	assert.Assert(t, left <= 5*time.Second-startTime, "%v are left of 5 s", left)
}
