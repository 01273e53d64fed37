// Package thwire carries typed calls between processes over HTTP with JSON:
// between VMs, and from operators to VMs.
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

	// DefaultMaxBodyBytes bounds one message.
	DefaultMaxBodyBytes = 16 << 20

	serverIdleTimeout = time.Minute
)

// Sender is who made a call, as it named itself; the credential has been checked.
type Sender struct {
	ID          string
	Incarnation uint64
	Address     string
}

// Server takes calls that carry the right credential. Set the fields and add
// handlers before Serve.
type Server struct {
	// Credential is what every call has to carry; a server without one refuses all.
	Credential string
	// MaxBodyBytes bounds one message; zero means DefaultMaxBytes.
	MaxBodyBytes int
	// Log gets one event for each source whose calls are dropped; nil drops them silently.
	Log thevent.Logger
	// RefusedEvent is that event; zero means PeerMessageDropped.
	RefusedEvent thevent.ID

	routes        map[string]func(*fasthttp.RequestCtx, Sender)
	http          *fasthttp.Server
	loggedSources sync.Map
	counters      callCounters
}

// errorBody is a refusal on the wire.
type errorBody struct {
	Error ErrorAnswer `json:"error"`
}

// ErrorAnswer is the JSON form of an error.
type ErrorAnswer struct {
	Kind    string          `json:"kind"`
	Detail  string          `json:"detail,omitempty"`
	Outcome therror.Outcome `json:"outcome"`
}

// Handle adds a handler for the calls to a path. The handler must return soon:
// it runs on the server's goroutine for that connection.
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

// Serve takes calls on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.initHTTPServer()
	return s.http.Serve(l)
}

// initHTTPServer makes the HTTP server before any goroutine can ask for it.
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

// Start serves on the listener in the background.
func (s *Server) Start(l net.Listener) {
	s.initHTTPServer()
	go func() { _ = s.Serve(l) }()
}

// Shutdown stops taking calls and waits for those in progress.
func (s *Server) Shutdown() error {
	if s.http == nil {
		return nil
	}
	return s.http.Shutdown()
}

func (s *Server) handleHTTP(c *fasthttp.RequestCtx) {
	s.dispatch(c)
	failed := c.Response.StatusCode() != fasthttp.StatusOK
	s.counters.record(len(c.Response.Body()), len(c.PostBody()), len(c.Request.Header.RawHeaders()), failed)
}

func (s *Server) dispatch(c *fasthttp.RequestCtx) {
	from := Sender{
		ID:      string(c.Request.Header.Peek(headerFrom)),
		Address: c.RemoteIP().String(),
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

// refuseUnreadable refuses a call that is too large or is no HTTP.
func (s *Server) refuseUnreadable(c *fasthttp.RequestCtx, err error) {
	kind := therror.MessageMalformed
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = therror.MessageTooLarge
	}
	s.refuse(c, Sender{Address: c.RemoteIP().String()}, therror.Wrap(kind, err, "the call could not be read"))
	c.SetConnectionClose()
}

// refuse refuses a call and logs the first one from each source.
func (s *Server) refuse(c *fasthttp.RequestCtx, from Sender, err error) {
	WriteError(c, err)
	if s.Log == nil {
		return
	}
	id := s.RefusedEvent
	if id == 0 {
		id = thevent.PeerMessageDropped
	}
	if _, logged := s.loggedSources.LoadOrStore(from.Address, true); !logged {
		s.Log.Log(id, thevent.F("source", from.Address), thevent.F("error", err.Error()))
	}
}

// WriteError answers with the error's kind, detail and outcome.
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
	data, err := json.Marshal(answer)
	if err != nil {
		WriteError(c, therror.Wrap(therror.Internal, err, "answer"))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

// discardLogger keeps fasthttp's own lines out of the numbered log.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
