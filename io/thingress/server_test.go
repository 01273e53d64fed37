package thingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
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

// patience bounds every wait of these tests; it is reached only by a failure.
const patience = 10 * time.Second

// runner answers each request when it is released, or at once.
type runner struct {
	mu      sync.Mutex
	seen    []*thmessage.Request
	began   chan string
	left    chan string
	release map[string]chan struct{}
	refuse  *thingress.Refusal
}

func newRunner() *runner {
	return &runner{began: make(chan string, 64), left: make(chan string, 64), release: make(map[string]chan struct{})}
}

func (r *runner) Admit(c thtable.Customer, _ thtable.Route) *thingress.Refusal {
	if c.Name == "over" {
		return &thingress.Refusal{Err: therror.New(therror.OverLimit, "over"), After: 1500 * time.Millisecond}
	}
	return nil
}

func (r *runner) hold(path string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan struct{})
	r.release[path] = c
	return c
}

func (r *runner) Run(ctx context.Context, q *thmessage.Request) (*thmessage.Answer, *thingress.Refusal) {
	r.mu.Lock()
	r.seen = append(r.seen, q)
	held := r.release[q.URI]
	r.mu.Unlock()
	r.began <- q.URI
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			r.left <- q.URI
			return nil, &thingress.Refusal{Err: therror.New(therror.CallerGone, "gone")}
		}
	}
	if r.refuse != nil {
		return nil, r.refuse
	}
	return &thmessage.Answer{Status: 200, Header: []thmessage.HeaderField{{Name: "X-Stamp", Value: "s"}}, Body: []byte("answer to " + q.URI)}, nil
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

type rig struct {
	t      *testing.T
	server *thingress.Server
	runner *runner
	addr   string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return newRigWith(t, nil)
}

func newRigWith(t *testing.T, submit func(task func()) error) *rig {
	t.Helper()
	g := &rig{t: t, runner: newRunner()}
	g.server = thingress.New(thingress.Options{
		Table: table, Runner: g.runner, Clock: thclock.System{}, Submit: submit,
		Names: thmessage.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", ReservedPrefix: "X-Own-"},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.addr = l.Addr().String()
	go g.server.Serve(l)
	t.Cleanup(g.server.CloseIdle)
	return g
}

type caller struct {
	net.Conn
	t  *testing.T
	br *bufio.Reader
}

func (g *rig) dial() *caller {
	g.t.Helper()
	nc, err := net.Dial("tcp", g.addr)
	assert.NilError(g.t, err)
	assert.NilError(g.t, nc.SetDeadline(time.Now().Add(patience)))
	g.t.Cleanup(func() { _ = nc.Close() })
	return &caller{nc, g.t, bufio.NewReader(nc)}
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

func (c *caller) answer() *fasthttp.Response {
	c.t.Helper()
	r := &fasthttp.Response{}
	assert.NilError(c.t, r.Read(c.br))
	return r
}

func (c *caller) ended() {
	c.t.Helper()
	_, err := c.br.ReadByte()
	assert.Assert(c.t, err != nil, "the connection is still open")
}

func wait(t *testing.T, from <-chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		assert.Equal(t, got, want)
	case <-time.After(patience):
		t.Fatalf("no %s", want)
	}
}

func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	g := newRig(t)
	first := g.runner.hold("/safe/1")
	c := g.dial()
	c.get("/safe/1")
	c.get("/safe/2")
	seen := map[string]bool{<-g.runner.began: true, <-g.runner.began: true}
	assert.Assert(t, seen["/safe/1"] && seen["/safe/2"])
	close(first)
	assert.Equal(t, string(c.answer().Body()), "answer to /safe/1")
	assert.Equal(t, string(c.answer().Body()), "answer to /safe/2")
}

func TestRequestThatMayRunOnceWaitsForTheAnswersBeforeIt(t *testing.T) {
	g := newRig(t)
	first := g.runner.hold("/safe/1")
	c := g.dial()
	c.get("/safe/1")
	wait(t, g.runner.began, "/safe/1")
	c.get("/once/2")
	select {
	case path := <-g.runner.began:
		t.Fatalf("%s began", path)
	case <-time.After(50 * time.Millisecond):
	}
	close(first)
	wait(t, g.runner.began, "/once/2")
}

func TestRequestIsCancelledWhenItsCallerLeaves(t *testing.T) {
	for _, fields := range [][]string{nil, {"Connection: close"}} {
		t.Run(fmt.Sprint(fields), func(t *testing.T) {
			g := newRig(t)
			g.runner.hold("/safe/1")
			c := g.dial()
			c.get("/safe/1", fields...)
			wait(t, g.runner.began, "/safe/1")
			assert.NilError(t, c.Close())
			wait(t, g.runner.left, "/safe/1")
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"unknown key", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n", 401},
		{"no key", "GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n", 401},
		{"two keys", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nAuthorization: Bearer key\r\n\r\n", 400},
		{"no route", "GET /none/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n", 404},
		{"over the rate", "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer greedy\r\n\r\n", 429},
		{"long body", "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 2000\r\n\r\n", 413},
		{"long header", "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		{"slow header", "GET /safe/ HTTP/1.1\r\nHost: h\r\n", 408},
		{"no request", "\x01\x02 nonsense\r\n\r\n", 400},
		{"two lengths", "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
		{"bad deadline", "GET /open/ HTTP/1.1\r\nHost: h\r\nX-Deadline: soon\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t)
			k := g.dial()
			k.send(c.text)
			r := k.answer()
			assert.Equal(t, r.StatusCode(), c.status)
			if c.status == 429 {
				assert.Equal(t, string(r.Header.Peek("Retry-After")), "1.500")
			}
			g.runner.mu.Lock()
			defer g.runner.mu.Unlock()
			assert.Equal(t, len(g.runner.seen), 0)
		})
	}
}

func TestOnlyWhatATargetMaySeeIsPassedOn(t *testing.T) {
	g := newRig(t)
	c := g.dial()
	c.get("/safe/1?q=%20x", "X-Own-Tenant: forged", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 1", "X-Id: id-1", "X-Deadline: 700")
	assert.Equal(t, c.answer().StatusCode(), 200)
	q := g.runner.seen[0]
	assert.Equal(t, q.URI, "/safe/1?q=%20x")
	assert.Equal(t, q.ID, "id-1")
	assert.Equal(t, q.Customer.Name, "c")
	assert.Equal(t, q.Deadline.Sub(q.Arrived), 700*time.Millisecond)
	for _, f := range q.Header {
		assert.Assert(t, f.Name == "X-Kept" || f.Name == "X-Id" || f.Name == "X-Deadline", f.Name)
	}
}

func TestChunkedBodiesArriveWhole(t *testing.T) {
	g := newRig(t)
	c := g.dial()
	c.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	assert.Equal(t, c.answer().StatusCode(), 200)
	assert.Equal(t, string(g.runner.seen[0].Body), "hello world")
}

func TestDrainFinishesWhatIsUnderWay(t *testing.T) {
	g := newRig(t)
	held := g.runner.hold("/safe/1")
	idle, busy := g.dial(), g.dial()
	idle.get("/open/1")
	idle.answer()
	wait(t, g.runner.began, "/open/1")
	busy.get("/safe/1")
	wait(t, g.runner.began, "/safe/1")
	g.server.Drain()
	idle.get("/open/2") // a caller that has not noticed yet is still served
	r := idle.answer()
	assert.Equal(t, r.StatusCode(), 200)
	assert.Assert(t, r.ConnectionClose())
	idle.ended()
	g.server.CloseIdle()
	close(held)
	r = busy.answer()
	assert.Equal(t, string(r.Body()), "answer to /safe/1")
	assert.Assert(t, r.ConnectionClose())
	busy.ended()
}

func TestDrainClosesOnlyBehindTheLastPipelinedAnswer(t *testing.T) {
	g := newRig(t)
	first := g.runner.hold("/safe/1")
	second := g.runner.hold("/safe/2")
	c := g.dial()
	c.get("/safe/1")
	c.get("/safe/2")
	<-g.runner.began
	<-g.runner.began
	g.server.Drain()
	close(first)
	assert.Assert(t, !c.answer().ConnectionClose())
	close(second)
	assert.Assert(t, c.answer().ConnectionClose())
}

func TestARequestThatIsBeingReadAtTheStopIsServed(t *testing.T) {
	g := newRig(t)
	c := g.dial()
	c.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\n\r\nhe")
	time.Sleep(20 * time.Millisecond) // the server has begun to read; a later start only makes the test easier
	g.server.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	quiet := make(chan struct{})
	go func() {
		g.server.Quiet(ctx)
		close(quiet)
	}()
	select {
	case <-quiet:
		t.Fatal("quiet while a request is being read")
	case <-time.After(50 * time.Millisecond):
	}
	c.send("llo")
	assert.Equal(t, c.answer().StatusCode(), 200)
	<-quiet
	assert.NilError(t, ctx.Err())
}

// answerBeforeTheReader makes a request whose answer is written while the
// reader has not come back to its connection; release lets it come back.
func answerBeforeTheReader(t *testing.T, prepare func(s *thingress.Server)) (g *rig, a *fasthttp.Response, release func()) {
	t.Helper()
	answered := make(chan struct{})
	g = newRigWith(t, func(task func()) error {
		task()
		<-answered
		return nil
	})
	prepare(g.server)
	c := g.dial()
	c.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n")
	return g, c.answer(), func() { close(answered) }
}

func TestAnAnswerWrittenBeforeTheReaderWaitsEndsItsConnection(t *testing.T) {
	g, a, release := answerBeforeTheReader(t, func(*thingress.Server) {})
	assert.Equal(t, a.StatusCode(), 200)
	g.server.CloseIdle()
	release()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	g.server.Quiet(ctx)
	assert.NilError(t, ctx.Err())
}

func TestAnAnswerDuringADrainSaysThatItsConnectionEnds(t *testing.T) {
	_, a, release := answerBeforeTheReader(t, (*thingress.Server).Drain)
	release()
	assert.Assert(t, a.ConnectionClose())
}
