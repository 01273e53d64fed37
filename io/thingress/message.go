package thingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

const (
	bearer = "Bearer "
	// defaultTimeout bounds a request whose caller and route set no time.
	defaultTimeout = 60 * time.Second
)

// refusalOf returns the refusal for a request that could not be read, or nil
// if the caller has left.
func refusalOf(err error) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return therror.Wrap(therror.HeaderTooLarge, err, "the header is larger than the limit")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return therror.Wrap(therror.RequestTooLarge, err, "the body is larger than the limit")
	case isTimeout(err):
		return therror.Wrap(therror.RequestSlow, err, "the request took too long to arrive")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), isClosed(err):
		return nil
	}
	return therror.Wrap(therror.RequestMalformed, err, "the request could not be read")
}

// checkFraming refuses a request whose length could be read in two ways.
func checkFraming(h *fasthttp.RequestHeader) error {
	const chunked = -1 // fasthttp then drops any length
	if h.ContentLength() == chunked && bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("\ncontent-length:")) {
		return therror.New(therror.RequestMalformed, "the request has a length and is chunked")
	}
	return nil
}

// request copies the request, since its buffers are used again, and finds its
// route and customer.
func (s *Server) request(q *fasthttp.Request) (*thmessage.Request, *Refusal) {
	now := s.o.Clock.Now()
	m := &thmessage.Request{
		ID: string(q.Header.Peek(s.o.Names.RequestID)), Method: string(q.Header.Method()),
		Host: string(q.Header.Host()), URI: string(q.Header.RequestURI()), Arrived: now,
	}
	table := s.o.Table()
	if table.Version() == 0 {
		return m, &Refusal{Err: therror.New(therror.NotReady, "the VM has no configuration yet"), After: time.Second}
	}
	if m.Method == fasthttp.MethodConnect {
		return m, &Refusal{Err: therror.New(therror.RequestMalformed, "method CONNECT")}
	}
	path, _, _ := strings.Cut(m.URI, "?")
	route, ok := table.Route(m.Host, path)
	if !ok {
		return m, &Refusal{Err: therror.New(therror.RouteUnknown, "no route for this host and path")}
	}
	m.Route = route
	if table.RequiresKey() && !route.Open {
		if err := s.identify(q, m); err != nil {
			return m, &Refusal{Err: err}
		}
		if !m.Customer.MayUse(route) {
			return m, &Refusal{Err: therror.New(therror.RouteForbidden, "route %s is not open to customer %s", route.Name, m.Customer.Name)}
		}
	}
	wait, err := s.wait(q)
	if err != nil {
		return m, &Refusal{Err: err}
	}
	m.Objective = now.Add(time.Duration(route.LatencyObjectiveMillis) * time.Millisecond)
	m.Deadline = now.Add(wait)
	if limit := time.Duration(route.TimeoutMillis) * time.Millisecond; limit > 0 && limit < wait {
		m.Deadline = now.Add(limit)
	}
	m.Header = s.fields(q, table.RequiresKey())
	m.Body = append([]byte(nil), q.Body()...)
	return m, nil
}

// identify sets the customer by the request's key.
func (s *Server) identify(q *fasthttp.Request, m *thmessage.Request) error {
	all := q.Header.PeekAll(fasthttp.HeaderAuthorization)
	switch len(all) {
	case 0:
		return therror.New(therror.KeyMissing, "the request carries no key")
	case 1:
	default:
		return therror.New(therror.RequestMalformed, "the request carries %d keys", len(all))
	}
	text := string(all[0])
	if len(text) < len(bearer) || !strings.EqualFold(text[:len(bearer)], bearer) {
		return therror.New(therror.KeyMissing, "the key must come as Authorization: Bearer <key>")
	}
	customer, ok := s.o.Table().Authenticate(strings.TrimSpace(text[len(bearer):]))
	if !ok {
		return therror.New(therror.KeyUnknown, "the key is not in force")
	}
	m.Customer = customer
	return nil
}

// wait returns how long the caller will wait.
func (s *Server) wait(q *fasthttp.Request) (time.Duration, error) {
	text := q.Header.Peek(s.o.Names.Deadline)
	if s.o.Names.Deadline == "" || len(text) == 0 {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(ms) || ms <= 0 || ms > math.MaxInt32 {
		return 0, therror.New(therror.RequestMalformed, "%s: %q is no number of milliseconds", s.o.Names.Deadline, text)
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// fields returns the fields to pass on: not the key, not those of one
// connection, and none that only this system may set.
func (s *Server) fields(q *fasthttp.Request, keyed bool) []thmessage.HeaderField {
	connection := string(q.Header.Peek(fasthttp.HeaderConnection))
	fs := make([]thmessage.HeaderField, 0, q.Header.Len())
	for k, v := range q.Header.All() {
		name := string(k)
		switch {
		case thmessage.IsHopByHop(name), thmessage.IsListedInConnection(connection, name), name == fasthttp.HeaderHost:
		case keyed && name == fasthttp.HeaderAuthorization:
		case s.isOwn(name):
		default:
			fs = append(fs, thmessage.HeaderField{Name: name, Value: string(v)})
		}
	}
	return fs
}

func (s *Server) isOwn(name string) bool {
	own := s.o.Names.ReservedPrefix
	return own != "" && len(name) >= len(own) && strings.EqualFold(name[:len(own)], own)
}

// serve has the request run, unless it was refused already.
func (s *Server) serve(ctx context.Context, m *thmessage.Request, refusal *Refusal) (*thmessage.Answer, *Refusal) {
	var answer *thmessage.Answer
	if refusal == nil && m.Customer.Name != "" {
		refusal = s.o.Runner.Admit(m.Customer, m.Route)
	}
	if refusal == nil {
		answer, refusal = s.o.Runner.Run(ctx, m)
	} else {
		s.o.Log.Log(thevent.RequestRefused, thevent.F("request", m.ID), thevent.F("route", m.Route.Name),
			thevent.F("customer", m.Customer.Name), thevent.F("version", s.o.Table().Version()),
			thevent.F("error", refusal.Err.Error()), thevent.F("afterMillis", refusal.After.Milliseconds()))
	}
	s.record(m, answer, refusal)
	return answer, refusal
}

func (s *Server) record(m *thmessage.Request, answer *thmessage.Answer, refusal *Refusal) {
	if s.o.Record == nil {
		return
	}
	e := Ended{Request: m, Took: s.o.Clock.Now().Sub(m.Arrived)}
	if refusal != nil {
		e.Kind, e.Refused = therror.KindOf(refusal.Err), true
		e.Status = e.Kind.Answer().Status
	} else {
		e.Status = answer.Status
	}
	s.o.Record(e)
}

// reply is what is written to a caller.
type reply struct {
	answer  *thmessage.Answer
	refusal *Refusal
	// close ends the connection after the reply; head leaves the body out.
	close, head bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error   string          `json:"error"`
	Outcome therror.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
	Retry   bool            `json:"retry"`
}

func (r reply) write(bw *bufio.Writer, names thmessage.HeaderNames, closing bool) error {
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	p.Header.DisableNormalizing()
	p.Header.SetNoDefaultContentType(true)
	if r.refusal != nil {
		r.fillRefusal(p)
	} else {
		r.fillAnswer(p)
	}
	if closing {
		p.SetConnectionClose()
	}
	return p.Write(bw)
}

func (r reply) fillAnswer(p *fasthttp.Response) {
	p.SetStatusCode(r.answer.Status)
	for _, f := range r.answer.Header {
		p.Header.Add(f.Name, f.Value)
	}
	if r.head {
		p.SkipBody = true
		return
	}
	p.SetBodyRaw(r.answer.Body)
}

func (r reply) fillRefusal(p *fasthttp.Response) {
	a := therror.KindOf(r.refusal.Err).Answer()
	p.SetStatusCode(a.Status)
	p.Header.SetContentType("application/json")
	if r.refusal.After > 0 {
		p.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.refusal.After.Seconds(), 'f', 3, 64))
	}
	detail := ""
	var e *therror.Error
	if errors.As(r.refusal.Err, &e) {
		detail = e.Detail // causes name internal addresses
	}
	body, err := json.Marshal(refusalBody{Error: a.Name, Outcome: a.Outcome, Detail: detail, Retry: a.Retry})
	if err != nil {
		body = nil // the status alone says what the caller needs
	}
	p.SkipBody = r.head
	p.SetBodyRaw(body)
}
