package thstand

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"tamarackhollow/core/throute"

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
	// ShedOver answers ShedStatus without running a request while this many
	// run; 0 never sheds.
	ShedOver int
	// ShedStatus is the status of a shed request.
	ShedStatus int
	// DropShare is the share of requests, 0 to 1, whose connection is closed
	// after they ran.
	DropShare float64
	// Sick makes the health endpoint say so.
	Sick bool
	// Leaving makes the health endpoint and every answer say so.
	Leaving bool
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
	// OrderKey is the request's idempotency key.
	OrderKey string
	// Body is the request's body.
	Body string
	// KeyShown is whether a field named Authorization reached the target.
	KeyShown bool
}

// Target is a stand-in for a target. Make one with StartTarget.
type Target struct {
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

// PathHealth is the health and load endpoint.
const PathHealth = "/health"

// health is the endpoint's answer.
type health struct {
	Status string `json:"status"`
	Load   int    `json:"load"`
}

// StartTarget serves on the listener until Close.
func StartTarget(l net.Listener, b TargetBehaviour, seed uint64) *Target {
	t := &Target{listener: l, address: l.Addr().String(), behaviour: b, random: rand.New(rand.NewPCG(seed, seed))}
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

func (t *Target) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == PathHealth {
		t.health(c)
		return
	}
	b, shed, fail, drop := t.begin(c)
	if shed {
		c.SetStatusCode(b.ShedStatus)
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
	if id := c.Request.Header.Peek("Tamarack-Request-Id"); len(id) > 0 {
		c.Response.Header.SetBytesV("Tamarack-Request-Id", id)
	}
	t.describe(c, b)
	if fail {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.Response.Header.Set("Ran-At", t.Address())
	c.SetBodyString("ran " + string(c.Method()) + " " + string(c.RequestURI()) + " " + strconv.Itoa(len(c.PostBody())))
}

// describe has the answer tell of the target's load and state.
func (t *Target) describe(c *fasthttp.RequestCtx, b TargetBehaviour) {
	t.mu.Lock()
	c.Response.Header.Set(throute.HeaderLoad, strconv.Itoa(t.running))
	t.mu.Unlock()
	if b.Leaving {
		c.Response.Header.Set(throute.HeaderState, throute.StateLeaving)
	}
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
		RequestID: string(h.Peek("Tamarack-Request-Id")),
		Customer:  string(h.Peek("Tamarack-Customer")),
		Method:    string(c.Method()),
		URI:       string(c.RequestURI()),
		OrderKey:  string(h.Peek("Idempotency-Key")),
		Body:      string(c.PostBody()),
		KeyShown:  len(h.Peek("Authorization")) > 0,
	})
	return b, false, t.random.Float64() < b.FailShare, t.random.Float64() < b.DropShare
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Target) health(c *fasthttp.RequestCtx) {
	t.mu.Lock()
	b := t.behaviour
	h := health{Status: "ok", Load: t.running}
	t.mu.Unlock()
	t.describe(c, b)
	if b.Leaving {
		h.Status = throute.StateLeaving
	}
	if b.Sick {
		h.Status = "sick"
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	data, _ := json.Marshal(h)
	c.SetContentType("application/json")
	c.SetBody(data)
}

// silent keeps fasthttp's own lines off the terminal.
type silent struct{}

func (silent) Printf(string, ...any) {}
