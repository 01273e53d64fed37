package thstand

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

// TargetBehaviour says how a target treats requests.
type TargetBehaviour struct {
	// LatencyMillis is how long a request takes, in milliseconds.
	LatencyMillis int
	// Hold keeps requests until it is closed; nil keeps none.
	Hold <-chan struct{}
	// FailShare is the share of requests, 0 to 1, that are answered 500.
	FailShare float64
	// ShedOver turns a request down without running it while this many run; 0
	// never does.
	ShedOver int
	// DropShare is the share of requests, 0 to 1, whose connection is closed
	// after they ran.
	DropShare float64
	// DiesOf is a body that the target dies of; empty is none.
	DiesOf string
	// DownMillis is how long a target that died refuses connections.
	DownMillis int
}

// Run is one request that a target ran.
type Run struct {
	RequestID string
	Customer  string
	Method    string
	URI       string
	// Body is the request's body.
	Body string
	// KeyShown is whether a field named Authorization reached the target.
	KeyShown bool
}

// Target is a stand-in for a target. Make one with StartTarget.
type Target struct {
	id      string
	address string
	http    *fasthttp.Server

	mu        sync.Mutex
	listener  net.Listener
	behaviour TargetBehaviour
	random    *rand.Rand
	running   int
	runs      []Run
	open      []net.Conn
	deaths    int
	closed    bool
}

// StartTarget serves on the listener until Close. The ID is the one that the
// target is listed under; requests for another are turned down.
func StartTarget(l net.Listener, id string, b TargetBehaviour, seed uint64) *Target {
	t := &Target{id: id, listener: l, address: l.Addr().String(), behaviour: b, random: rand.New(rand.NewPCG(seed, seed))}
	t.http = &fasthttp.Server{
		Handler:               t.handle,
		MaxRequestBodySize:    64 << 20,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silent{},
		ConnState:             t.track,
	}
	go func() { _ = t.http.Serve(l) }()
	return t
}

// Address is where the target listens.
func (t *Target) Address() string { return t.address }

// Behave sets the behaviour from now on.
func (t *Target) Behave(b TargetBehaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Runs returns the requests that ran so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Close stops serving.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.http.Shutdown()
}

var names = thmessage.DefaultHeaderNames()

func (t *Target) handle(c *fasthttp.RequestCtx) {
	h := &c.Request.Header
	c.Response.Header.SetBytesV(names.RequestID, h.Peek(names.RequestID))
	if id := string(h.Peek(names.Target)); id != "" && id != t.id {
		c.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	b, shed, fail, drop := t.begin(c)
	if shed {
		c.Response.Header.Set(names.NotRun, "busy")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if b.Hold != nil {
		<-b.Hold
	}
	time.Sleep(time.Duration(b.LatencyMillis) * time.Millisecond)
	t.end()
	if b.DiesOf != "" && string(c.PostBody()) == b.DiesOf {
		t.die(time.Duration(b.DownMillis) * time.Millisecond)
		return
	}
	if drop {
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { _ = conn.Close() })
		return
	}
	c.Response.Header.Set(names.Signature, t.id)
	if fail {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBodyString("ran " + string(c.Method()) + " " + string(c.RequestURI()) + " " + strconv.Itoa(len(c.PostBody())))
}

func (t *Target) begin(c *fasthttp.RequestCtx) (b TargetBehaviour, shed, fail, drop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b = t.behaviour
	if b.ShedOver > 0 && t.running >= b.ShedOver {
		return b, true, false, false
	}
	t.running++
	h := &c.Request.Header
	t.runs = append(t.runs, Run{
		RequestID: string(h.Peek(names.RequestID)),
		Customer:  string(h.Peek(names.Customer)),
		Method:    string(c.Method()),
		URI:       string(c.RequestURI()),
		Body:      string(c.PostBody()),
		KeyShown:  len(h.Peek(fasthttp.HeaderAuthorization)) > 0,
	})
	return b, false, t.random.Float64() < b.FailShare, t.random.Float64() < b.DropShare
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// silent keeps fasthttp's own lines off the terminal.
type silent struct{}

func (silent) Printf(string, ...any) {}
