package thfake

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

// TargetBehaviour sets the latency and the faults of a fake target.
type TargetBehaviour struct {
	// LatencyMillis is how long each request runs, in milliseconds.
	LatencyMillis int
	// BlockUntil makes requests wait until the channel is closed; nil means no
	// wait.
	BlockUntil <-chan struct{}
	// FailShare is the share of requests, 0 to 1, that are answered with status
	// 500 after they ran.
	FailShare float64
	// MaxRunning is the number of requests that run at once. Further ones are
	// answered with status 503 and not run; 0 means no limit.
	MaxRunning int
	// RejectsAll makes the target answer all requests in that way.
	RejectsAll bool
	// RetryAfter is the value of Retry-After in the answers to requests that are not run;
	// empty means that they have none.
	RetryAfter string
	// ColdMillis is the value of the field by which the target says in each answer how long it
	// stays cold; empty means that it does not say it.
	ColdMillis string
	// DropShare is the share of requests, 0 to 1, whose connection is closed
	// without an answer after they ran.
	DropShare float64
	// CrashBody is the request body that makes the target crash; empty means
	// that no request does.
	CrashBody string
	// DownMillis is how long the target refuses connections after a crash, in
	// milliseconds.
	DownMillis int
	// Leaving makes the target say in each answer, also in those to requests that it does
	// not run, that it leaves.
	Leaving bool
}

// Run describes one request that a target started to run.
type Run struct {
	RequestID string
	Customer  string
	Method    string
	URI       string
	Body      string
	// HasAuthorization is set if the request arrived with an Authorization
	// header field, which holds the customer's key.
	HasAuthorization bool
}

// Target is a fake target: an HTTP server that records the requests it runs and
// shows the faults of its TargetBehaviour. Use StartTarget to create one.
type Target struct {
	id      string
	address string
	http    *fasthttp.Server

	mu          sync.Mutex
	listener    net.Listener
	behaviour   TargetBehaviour
	random      *rand.Rand
	running     int
	rejected    int
	runs        []Run
	connections []net.Conn
	crashes     int
	closed      bool
}

// StartTarget starts a target that serves on the listener until Close. The id is
// the target's ID in the store; requests for another ID are answered with status
// 421 and not run. The seed feeds the random choice of the requests that fail or
// are dropped.
func StartTarget(l net.Listener, id string, b TargetBehaviour, seed uint64) *Target {
	t := &Target{id: id, listener: l, address: l.Addr().String(), behaviour: b, random: rand.New(rand.NewPCG(seed, seed))}
	t.http = &fasthttp.Server{
		Handler:               t.handle,
		MaxRequestBodySize:    64 << 20,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ConnState:             t.trackConnection,
	}
	go func() { _ = t.http.Serve(l) }()
	return t
}

// Address returns the address at which the target listens, as "IP:port".
func (t *Target) Address() string { return t.address }

// SetBehaviour replaces the behaviour for requests that start from now on.
func (t *Target) SetBehaviour(b TargetBehaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Runs returns the requests that the target has started to run, oldest first.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Rejected returns how many requests the target has not run because it was full.
func (t *Target) Rejected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// Close stops the server and waits for running requests. A crashed target does
// not restart.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.http.Shutdown()
}

var headerNames = thmessage.DefaultHeaderNames()

func (t *Target) handle(c *fasthttp.RequestCtx) {
	h := &c.Request.Header
	c.Response.Header.SetBytesV(headerNames.RequestID, h.Peek(headerNames.RequestID))
	if id := string(h.Peek(headerNames.Target)); id != "" && id != t.id {
		c.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	b, shed, fail, drop := t.beginRun(c)
	if b.Leaving {
		c.Response.Header.Set(headerNames.Leaving[0], "1")
	}
	if b.ColdMillis != "" {
		c.Response.Header.Set(headerNames.Cold, b.ColdMillis)
	}
	if shed {
		if b.RetryAfter != "" {
			c.Response.Header.Set(fasthttp.HeaderRetryAfter, b.RetryAfter)
		}
		c.Response.Header.Set(headerNames.NotRun, "busy")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if b.BlockUntil != nil {
		<-b.BlockUntil
	}
	time.Sleep(time.Duration(b.LatencyMillis) * time.Millisecond)
	t.endRun()
	if b.CrashBody != "" && string(c.PostBody()) == b.CrashBody {
		t.crash(time.Duration(b.DownMillis) * time.Millisecond)
		return
	}
	if drop {
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { _ = conn.Close() })
		return
	}
	c.Response.Header.Set(headerNames.Signature, t.id)
	if fail {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBodyString("ran " + string(c.Method()) + " " + string(c.RequestURI()) + " " + strconv.Itoa(len(c.PostBody())))
}

// beginRun records the request as running, unless MaxRunning requests already
// run: then shed is set. It decides at random whether the request fails or its
// connection is dropped.
func (t *Target) beginRun(c *fasthttp.RequestCtx) (b TargetBehaviour, shed, fail, drop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b = t.behaviour
	if b.RejectsAll || b.MaxRunning > 0 && t.running >= b.MaxRunning {
		t.rejected++
		return b, true, false, false
	}
	t.running++
	h := &c.Request.Header
	t.runs = append(t.runs, Run{
		RequestID:        string(h.Peek(headerNames.RequestID)),
		Customer:         string(h.Peek(headerNames.Customer)),
		Method:           string(c.Method()),
		URI:              string(c.RequestURI()),
		Body:             string(c.PostBody()),
		HasAuthorization: len(h.Peek(fasthttp.HeaderAuthorization)) > 0,
	})
	return b, false, t.random.Float64() < b.FailShare, t.random.Float64() < b.DropShare
}

func (t *Target) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// discardLogger discards fasthttp's log lines, which would mix with the output of
// the demo and the tests.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
