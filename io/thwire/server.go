// Package thwire implements typed remote calls with JSON over HTTP. VMs use them
// to call each other, and operators to query VMs.
package thwire

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	headerCredential  = "Tamarack-Credential"
	headerFrom        = "Tamarack-From"
	headerIncarnation = "Tamarack-Incarnation"

	// DefaultMaxBodyBytes bounds the body of a request and of an answer.
	DefaultMaxBodyBytes = 16 << 20

	serverIdleTimeout = time.Minute
)

// Sender identifies the caller. The server has checked the credential of the
// call, but ID and Incarnation are the caller's own claims.
type Sender struct {
	ID          string
	Incarnation uint64
	// IP is the IP address that the call came from.
	IP string
}

// Server answers calls that carry the right credential and refuses all others.
// Set the exported fields and add handlers before Serve or Start.
type Server struct {
	// Credential is the secret that every call has to carry; if it is empty, the
	// server refuses every call.
	Credential string
	// MaxBodyBytes bounds the body of a request; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int
	// Log receives RefusedEvent for the first refused call of each source address;
	// with nil, refused calls are not logged.
	Log thevent.Logger
	// RefusedEvent is the event for a refused call; zero means PeerMessageDropped.
	RefusedEvent thevent.ID

	// routes holds the handler of each path.
	routes map[string]func(*fasthttp.RequestCtx, Sender)
	http   *fasthttp.Server
	// loggedSources holds the source addresses whose refused calls were logged.
	loggedSources sync.Map
	counters      callCounters
}

// errorBody is the body of an answer to a failed call.
type errorBody struct {
	Error ErrorAnswer `json:"error"`
}

// ErrorAnswer is the JSON form of an error.
type ErrorAnswer struct {
	Kind    string          `json:"kind"`
	Detail  string          `json:"detail,omitempty"`
	Outcome therror.Outcome `json:"outcome"`
}

// Handle sets the handler for the calls to a path. The handler may wait, but not
// past the time that its callers wait. Its answer is sent as JSON, or as it is if it
// is Encoded. A request that is not valid JSON for its type is refused with
// MessageMalformed.
func Handle[Request, Answer any](s *Server, path string, handler func(Sender, Request) (Answer, error)) {
	if s.routes == nil {
		s.routes = make(map[string]func(*fasthttp.RequestCtx, Sender))
	}
	s.routes[path] = func(c *fasthttp.RequestCtx, from Sender) {
		var request Request
		if err := json.Unmarshal(c.PostBody(), &request); err != nil {
			s.refuse(c, from, therror.Wrap(therror.MessageMalformed, err, "call to %s", path))
			return
		}
		answer, err := handler(from, request)
		if err != nil {
			WriteError(c, err)
			return
		}
		writeAnswer(c, answer)
	}
}

// Serve answers calls on the listener until Shutdown, and returns the error that
// ended it.
func (s *Server) Serve(l net.Listener) error {
	s.initHTTPServer()
	return s.http.Serve(l)
}

// initHTTPServer creates the HTTP server, once. Start calls it before it starts
// its goroutine, so that a Shutdown right after Start finds the server.
func (s *Server) initHTTPServer() {
	if s.http != nil {
		return
	}
	maxBytes := s.MaxBodyBytes
	if maxBytes == 0 {
		maxBytes = DefaultMaxBodyBytes
	}
	s.http = &fasthttp.Server{
		Handler:               s.handleHTTP,
		ErrorHandler:          s.refuseUnreadable,
		MaxRequestBodySize:    maxBytes,
		IdleTimeout:           serverIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// Start answers calls on the listener in a goroutine of its own.
func (s *Server) Start(l net.Listener) {
	s.initHTTPServer()
	go func() { _ = s.Serve(l) }()
}

// Shutdown stops accepting calls and waits for those in progress.
func (s *Server) Shutdown() error {
	if s.http == nil {
		return nil
	}
	return s.http.Shutdown()
}

// handleHTTP answers and counts one HTTP request.
func (s *Server) handleHTTP(c *fasthttp.RequestCtx) {
	s.dispatch(c)
	failed := c.Response.StatusCode() != fasthttp.StatusOK
	s.counters.record(len(c.Response.Body()), len(c.PostBody()), len(c.Request.Header.RawHeaders()), failed)
}

// dispatch checks the credential of a call and runs the handler of its path.
func (s *Server) dispatch(c *fasthttp.RequestCtx) {
	from := Sender{
		ID: string(c.Request.Header.Peek(headerFrom)),
		IP: c.RemoteIP().String(),
	}
	from.Incarnation, _ = strconv.ParseUint(string(c.Request.Header.Peek(headerIncarnation)), 10, 64)
	credential := c.Request.Header.Peek(headerCredential)
	if s.Credential == "" || subtle.ConstantTimeCompare(credential, []byte(s.Credential)) != 1 {
		s.refuse(c, from, therror.New(therror.CredentialMissing, "the call carries no valid credential"))
		return
	}
	handler, ok := s.routes[string(c.Path())]
	if !ok {
		WriteError(c, therror.New(therror.NotFound, "no call %s", c.Path()))
		return
	}
	handler(c, from)
}

// refuseUnreadable refuses a call whose body is too large or that is not valid
// HTTP, and closes its connection.
func (s *Server) refuseUnreadable(c *fasthttp.RequestCtx, err error) {
	kind := therror.MessageMalformed
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = therror.MessageTooLarge
	}
	s.refuse(c, Sender{IP: c.RemoteIP().String()}, therror.Wrap(kind, err, "the call could not be read"))
	c.SetConnectionClose()
}

// refuse answers a call with an error, and logs the first refused call of each
// source address.
func (s *Server) refuse(c *fasthttp.RequestCtx, from Sender, err error) {
	WriteError(c, err)
	if s.Log == nil {
		return
	}
	id := s.RefusedEvent
	if id == 0 {
		id = thevent.PeerMessageDropped
	}
	if _, logged := s.loggedSources.LoadOrStore(from.IP, true); !logged {
		s.Log.Log(id, thevent.F("source", from.IP), thevent.F("error", err.Error()))
	}
}

// WriteError replaces the response by the error's kind, detail and outcome, with
// the HTTP status that belongs to the kind.
func WriteError(c *fasthttp.RequestCtx, err error) {
	kind := therror.KindOf(err)
	answer := kind.Answer()
	data, _ := json.Marshal(errorBody{ErrorAnswer{Kind: answer.Name, Detail: err.Error(), Outcome: answer.Outcome}})
	c.Response.Reset()
	c.SetStatusCode(answer.Status)
	c.SetContentType("application/json")
	c.SetBody(data)
}

func writeAnswer[Answer any](c *fasthttp.RequestCtx, answer Answer) {
	if e, ok := any(answer).(Encoded); ok {
		e.write(c)
		return
	}
	e, err := Encode(answer)
	if err != nil {
		WriteError(c, err)
		return
	}
	e.write(c)
}

// discardLogger discards fasthttp's own messages, since the log consists of
// numbered events only.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
