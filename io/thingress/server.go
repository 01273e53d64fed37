// Package thingress serves callers over HTTP. It reads requests, which may be
// pipelined on one connection, finds each one's route and customer, forwards it,
// and writes the answers in the order of the requests.
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
	"tamarackhollow/core/thmemory"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
)

// Refusal is the reply to a request that got no answer from a target.
type Refusal struct {
	Err error
	// RetryAfter is how long the caller should wait before it retries; 0 if that
	// is not known.
	RetryAfter time.Duration
	// LogFields are what decided a refusal that the Server logs.
	LogFields []thevent.Field
}

// Forwarder forwards requests to targets.
type Forwarder interface {
	// Admit counts a request on the route against the customer's rate limit. It
	// returns a refusal if the limit is exceeded, else nil.
	Admit(c thtable.Customer, r thtable.Route) *Refusal
	// Forward forwards the request and returns its whole answer or a refusal. The
	// context is cancelled when the caller leaves.
	Forward(ctx context.Context, request *thmessage.Request) (*thmessage.Answer, *Refusal)
}

// Options configure a Server. Table, Forwarder and Clock are required.
type Options struct {
	Table       func() thtable.Table
	Forwarder   Forwarder
	Clock       thclock.Clock
	Log         thevent.Logger
	HeaderNames thmessage.HeaderNames
	// AwaitConfiguration, if not nil, waits until the VM has its configuration, but not
	// beyond the time until or the context. It is called before each request is handled.
	AwaitConfiguration func(ctx context.Context, until time.Time)
	// Submit starts a task on a pool of workers, or returns an error if none is
	// free. If it is nil, each task gets its own goroutine.
	Submit func(task func()) error
	// BodyPace is how fast bodies have to arrive; the zero rule means thmemory.DefaultPaceRule.
	BodyPace thmemory.PaceRule
	// RecordRequest, if not nil, is called once for each request that was
	// submitted, when it has ended. It is not called for requests that could not be
	// read or submitted, which are refused.
	RecordRequest func(RequestResult)
}

// RequestResult describes how a request ended, for metrics.
type RequestResult struct {
	Request *thmessage.Request
	Status  int
	// Kind is the kind of the refusal; it has a meaning only if Refused is set.
	Kind    therror.Kind
	Refused bool
	Took    time.Duration
}

// Server accepts callers' connections and serves their requests. It must be
// created with New.
type Server struct {
	options     Options
	mu          sync.Mutex
	connections map[*connection]struct{}
	listener    net.Listener
	draining    atomic.Bool
	// stopping is set once connections accept no further request.
	stopping atomic.Bool
	// refuseAt is when requests are no longer passed on; nil if no stop is planned.
	refuseAt atomic.Pointer[time.Time]
	inFlight atomic.Int64
	memory   callerMemory
}

// New returns a server that accepts no connections before Serve is called.
func New(options Options) *Server {
	if options.Log == nil {
		options.Log = thevent.Discard{}
	}
	if options.Submit == nil {
		options.Submit = func(task func()) error {
			go task()
			return nil
		}
	}
	if options.BodyPace == (thmemory.PaceRule{}) {
		options.BodyPace = thmemory.DefaultPaceRule
	}
	return &Server{
		options: options, connections: make(map[*connection]struct{}),
		memory: callerMemory{log: options.Log, clock: options.Clock, giveWay: make(map[thmemory.ID]func(thmemory.Phase))},
	}
}

// acceptRetryDelay is the delay after a failed accept. It keeps Serve from
// spinning, for example when the process has run out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections from the listener until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err == nil {
			s.startConnection(nc)
			continue
		}
		if isClosed(err) {
			return
		}
		s.options.Log.Log(thevent.AcceptFailed, thevent.F("error", err.Error()))
		time.Sleep(acceptRetryDelay)
	}
}

// startConnection starts to serve an accepted connection.
func (s *Server) startConnection(nc net.Conn) {
	c := newConnection(s, nc)
	s.mu.Lock()
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// Drain makes the server close each connection after the answer to the last
// request received on it.
func (s *Server) Drain() { s.draining.Store(true) }

// IsDraining reports whether Drain was called.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// CloseIdle starts draining, stops accepting connections, closes those without a
// request, and accepts no further request on the others, but for those that it has begun
// to read.
func (s *Server) CloseIdle() {
	s.Drain()
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // an error does not matter: callers are sent to other VMs by now
		s.listener = nil
	}
	for c := range s.connections {
		c.stopReading()
	}
}

// RefuseFrom makes the server refuse, from the given time on, all requests that it has not
// passed to the Forwarder, whether they are being read or wait for something. It is for
// requests that come too late in a stop to be answered.
func (s *Server) RefuseFrom(t time.Time) {
	s.refuseAt.Store(&t)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.boundReading()
	}
}

// isRefusing reports whether requests are no longer passed on.
func (s *Server) isRefusing() bool {
	t := s.refuseAt.Load()
	return t != nil && !time.Now().Before(*t)
}

// WaitClosed waits until no connection is open or the context ends. After
// CloseIdle, connections stay open only while a request on them is being read or
// served, and for at most closeTimeout after the last answer, until the caller closes.
func (s *Server) WaitClosed(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for s.Connections() > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}
