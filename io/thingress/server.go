// Package thingress is the callers' side of a VM: it reads requests over HTTP,
// several ahead on one connection if the caller sends them so, finds route and
// customer, has each request run, and writes the answers in order.
package thingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
)

// Refusal ends a request that has no answer of a target.
type Refusal struct {
	Err error
	// After is when the caller may try again; 0 if that is not known.
	After time.Duration
}

// Runner has requests run.
type Runner interface {
	// Admit counts the request against its customer's limit.
	Admit(c thtable.Customer, r thtable.Route) *Refusal
	// Run has the request run and returns its whole answer or a refusal. The
	// context ends when the caller has left.
	Run(ctx context.Context, q *thmessage.Request) (*thmessage.Answer, *Refusal)
}

// Options are what a Server works with. Log may be nil.
type Options struct {
	Table  func() thtable.Table
	Runner Runner
	Clock  thclock.Clock
	Log    thevent.Logger
	Names  thmessage.HeaderNames
	// Submit runs a task on a pool of workers.
	Submit func(task func()) error
	// Record is called once a request with how it ended; nil records nothing.
	Record func(Ended)
}

// Ended is how a request ended, for metrics.
type Ended struct {
	Request *thmessage.Request
	Status  int
	// Kind is the kind of the refusal; Refused says whether there is one.
	Kind    therror.Kind
	Refused bool
	Took    time.Duration
}

// Server takes callers. Make one with New.
type Server struct {
	o        Options
	mu       sync.Mutex
	open     map[*connection]struct{}
	listener net.Listener
	draining atomic.Bool
	// stopping is set once connections without a request are to be closed.
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a server; Serve makes it take callers.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	if o.Submit == nil {
		o.Submit = func(task func()) error {
			go task()
			return nil
		}
	}
	return &Server{o: o, open: make(map[*connection]struct{})}
}

// acceptPause is the pause after a failure to accept, such as a lack of
// descriptors, so that the loop does not spin.
const acceptPause = 50 * time.Millisecond

// Serve takes callers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err == nil {
			s.start(nc)
			continue
		}
		if isClosed(err) {
			return
		}
		s.o.Log.Log(thevent.AcceptFailed, thevent.F("error", err.Error()))
		time.Sleep(acceptPause)
	}
}

func (s *Server) start(nc net.Conn) {
	c := newConnection(s, nc)
	s.mu.Lock()
	s.open[c] = struct{}{}
	s.mu.Unlock()
	go c.write()
	go c.read()
}

func (s *Server) ended(c *connection) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain makes every answer from now on the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// CloseIdle closes the connections on which nothing is under way, and stops
// taking new ones.
func (s *Server) CloseIdle() {
	s.Drain()
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // no connection is lost: callers are sent elsewhere
		s.listener = nil
	}
	for c := range s.open {
		c.closeIfIdle()
	}
}

// Quiet waits until no connection is open or the context ends. On a connection
// that is still open after CloseIdle a request is under way, or being read.
func (s *Server) Quiet(ctx context.Context) {
	const look = 20 * time.Millisecond
	for s.Connections() > 0 && ctx.Err() == nil {
		time.Sleep(look)
	}
}
