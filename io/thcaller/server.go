// Package thcaller is the callers' side of a VM: it takes requests over HTTP,
// finds the customer by the key, checks route and limit, has the request run
// and answers with the target's whole answer or a refusal that says whether
// the request ran.
package thcaller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"

	"github.com/valyala/fasthttp"
)

// Limiter admits requests within a customer's rate and burst over all VMs.
type Limiter interface {
	// Admit returns nil, or an error of kind OverLimit or LimitUnavailable.
	Admit(ctx context.Context, u thconfig.Customer) error
}

// Runner has one request run and returns its whole answer.
type Runner interface {
	Run(ctx context.Context, q *threquest.Request) (*threquest.Answer, error)
}

// Options are what a Server works with.
type Options struct {
	Config     func() thconfig.Config
	CheckFresh func() error
	Limiter    Limiter
	Runner     Runner
	Clock      thclock.Clock
	// Record is called once a request with what its caller saw, and with the
	// part of the latency that no target took; nil records nothing.
	Record func(o thburn.Observation, added time.Duration)
	// MaxBodyBytes bounds a request's body; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int
	// Ready says whether the VM may take callers.
	Ready func() bool
	// IDPrefix makes correlation IDs unique over the fleet.
	IDPrefix string
}

const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 8 << 20

	// PathReady answers 200 while the VM takes callers, for the platform's balancer.
	PathReady = "/-/ready"
	// PathLive answers 200 while the process runs.
	PathLive = "/-/live"

	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
)

// Server takes callers. Make one with New.
type Server struct {
	o        Options
	http     *fasthttp.Server
	draining atomic.Bool
	requests atomic.Uint64
	inFlight atomic.Int64
}

// New returns a server; Serve makes it take callers.
func New(o Options) *Server {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	s := &Server{o: o}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.unreadable,
		MaxRequestBodySize:           o.MaxBodyBytes,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       silent{},
	}
	return s
}

// Serve takes callers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Drain makes the VM not ready and asks callers to leave: every answer from
// now on closes its connection. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops taking connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.http.ShutdownWithContext(ctx)
}

// Requests returns how many requests have been taken.
func (s *Server) Requests() uint64 { return s.requests.Load() }

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) ready() bool {
	return !s.draining.Load() && (s.o.Ready == nil || s.o.Ready())
}

// unreadable answers a request that could not be read; nothing of it ran.
func (s *Server) unreadable(c *fasthttp.RequestCtx, err error) {
	kind := therror.RequestMalformed
	if err == fasthttp.ErrBodyTooLarge { //nolint:errorlint // fasthttp passes the bare value
		kind = therror.RequestTooLarge
	}
	writeRefusal(c, "", therror.Wrap(kind, err, "the request could not be read"))
	c.SetConnectionClose()
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case PathReady:
		answerProbe(c, s.ready())
		return
	case PathLive:
		answerProbe(c, true)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	began := s.o.Clock.Now()
	id := s.correlationID()
	q, a, err := s.serve(c, id, began)
	if err != nil {
		writeRefusal(c, id, err)
	} else {
		writeAnswer(c, id, a)
	}
	if s.draining.Load() {
		c.SetConnectionClose()
	}
	s.record(q, a, err, began)
}

func answerProbe(c *fasthttp.RequestCtx, well bool) {
	if !well {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serve takes the request through every step, and stops at the first that
// refuses it. The request is returned as far as it was made out.
func (s *Server) serve(c *fasthttp.RequestCtx, id string, began thclock.Instant) (*threquest.Request, *threquest.Answer, error) {
	q := &threquest.Request{ID: id}
	config := s.o.Config()
	if config.Version() == 0 {
		return q, nil, therror.New(therror.NotReady, "the VM has no configuration yet")
	}
	if err := s.identify(c, config, q); err != nil {
		return q, nil, err
	}
	if err := s.fill(c, config, q, began); err != nil {
		return q, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !q.Route.Open {
		if err := s.o.Limiter.Admit(ctx, q.Customer); err != nil {
			return q, nil, err
		}
	}
	if q.IdempotencyKey == "" {
		// A claimed request runs on, so that a resend finds its answer.
		stop := watchCaller(c.Conn(), cancel)
		defer stop()
	}
	a, err := s.o.Runner.Run(ctx, q)
	return q, a, err
}

// identify sets route and customer. Callers without a good key learn nothing
// of which routes there are.
func (s *Server) identify(c *fasthttp.RequestCtx, config thconfig.Config, q *threquest.Request) error {
	route, found := config.Route(string(c.Path()))
	if found && route.Open {
		q.Route = route
		return nil
	}
	if err := s.o.CheckFresh(); err != nil {
		return err
	}
	key, err := keyOf(&c.Request)
	if err != nil {
		return err
	}
	customer, ok := config.Authenticate(key)
	if !ok {
		return therror.New(therror.KeyUnknown, "the key is not in force")
	}
	q.Customer, q.KeyID = customer, thconfig.KeyID(key)
	if !found {
		return therror.New(therror.RouteUnknown, "no route for this path")
	}
	q.Route = route
	if !config.Allows(customer, route) {
		return therror.New(therror.RouteForbidden, "route %s is not open to customer %s", route.Name, customer.Name)
	}
	return checkKeyKept(&c.Request, key)
}

// fill copies the request, since fasthttp reuses its buffers.
func (s *Server) fill(c *fasthttp.RequestCtx, config thconfig.Config, q *threquest.Request, began thclock.Instant) error {
	service, ok := config.Service(q.Route.Service)
	if !ok {
		return therror.New(therror.NoTarget, "service %s is not configured", q.Route.Service)
	}
	q.Service = service
	q.Method = string(c.Method())
	q.URI = string(c.RequestURI())
	q.Headers = headersFor(&c.Request, q)
	q.Body = append([]byte(nil), c.PostBody()...)
	q.IdempotencyKey = string(c.Request.Header.Peek(headerIdempotencyKey))
	if len(q.IdempotencyKey) > maxIdempotencyKeyBytes {
		return therror.New(therror.RequestMalformed, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	limit, err := timeoutOf(&c.Request, service.Timeout())
	if err != nil {
		return err
	}
	q.Deadline = began.Add(limit)
	return nil
}

func (s *Server) record(q *threquest.Request, a *threquest.Answer, err error, began thclock.Instant) {
	if s.o.Record == nil {
		return
	}
	o := thburn.Observation{
		Customer: q.Customer.Name, Service: q.Route.Service,
		Refused: err != nil, Latency: s.o.Clock.Now().Sub(began),
	}
	if err != nil {
		o.Kind = therror.KindOf(err)
		s.o.Record(o, o.Latency)
		return
	}
	o.Status = a.Status
	s.o.Record(o, o.Latency-a.Took)
}

// silent keeps fasthttp's own lines out of the numbered log.
type silent struct{}

func (silent) Printf(string, ...any) {}
