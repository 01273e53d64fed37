package thingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"

	"github.com/valyala/fasthttp"
)

const (
	bearerPrefix = "Bearer "
	// defaultTimeout bounds a request whose caller sets no timeout. The route may
	// set a shorter one.
	defaultTimeout = 60 * time.Second
)

// refusalOf converts an error from reading a request to the refusal that the caller
// gets. It returns nil if the caller has closed the connection.
func (s *Server) refusalOf(err error) *Refusal {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		err = therror.Wrap(therror.HeaderTooLarge, err, "the header is larger than the limit")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		err = therror.Wrap(therror.RequestTooLarge, err, "the body is larger than the limit")
	case errors.Is(err, errBodyMemory):
		return &Refusal{Err: therror.Wrap(therror.QueueFull, err, "no memory is left for the request"), RetryAfter: retryAfterBody}
	case isTimeout(err) && s.isRefusing():
		return stopRefusal()
	case isTimeout(err):
		err = therror.Wrap(therror.RequestSlow, err, "the request took too long to arrive")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), isClosed(err):
		return nil
	default:
		err = therror.Wrap(therror.RequestMalformed, err, "the request could not be read")
	}
	return &Refusal{Err: err}
}

// retryAfterStop is the time after which a caller may return that came too late in a stop.
// Other VMs serve it by then.
const retryAfterStop = 50 * time.Millisecond

// stopRefusal is the reply to a request that came too late in a stop.
func stopRefusal() *Refusal {
	return &Refusal{Err: therror.New(therror.NotReady, "the VM is stopping"), RetryAfter: retryAfterStop}
}

// checkFraming returns an error for a request that is chunked and has a
// Content-Length, since its end would be ambiguous.
func checkFraming(h *fasthttp.RequestHeader) error {
	const chunked = -1 // fasthttp's content length of a chunked request, even if it has a Content-Length
	if h.ContentLength() == chunked && bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("\ncontent-length:")) {
		return therror.New(therror.RequestMalformed, "the request has a length and is chunked")
	}
	return nil
}

// maxStartWait is how long a request waits at a VM that has just started. A VM of a
// running fleet is ready sooner, and a refused caller comes back later.
const maxStartWait = 300 * time.Millisecond

// awaitConfiguration waits until the VM has its configuration, for at most maxStartWait.
func (s *Server) awaitConfiguration(ctx context.Context) {
	if s.options.AwaitConfiguration != nil {
		s.options.AwaitConfiguration(ctx, time.Now().Add(maxStartWait))
	}
}

// retryAfterStart is the time after which a VM that has just started is mostly ready.
const retryAfterStart = 400 * time.Millisecond

// convertRequest copies the head of the request, whose buffers will be reused, and finds
// its route and customer. If it returns a refusal, the copy is incomplete. The objective and
// the deadline count from when the request arrived.
func (s *Server) convertRequest(q *fasthttp.Request, body thmessage.Body, arrived thclock.Instant) (*thmessage.Request, *Refusal) {
	request := &thmessage.Request{
		ID: string(q.Header.Peek(s.options.HeaderNames.RequestID)), Method: string(q.Header.Method()),
		Host: string(q.Header.Host()), URI: string(q.Header.RequestURI()), Arrived: arrived,
	}
	table := s.options.Table()
	if refusal := resolve(table, request, func() (thtable.Customer, error) { return authenticate(table, q) }); refusal != nil {
		return request, refusal
	}
	timeout, err := s.timeout(q, request.Route)
	if err != nil {
		return request, &Refusal{Err: err}
	}
	setTimes(request, timeout)
	request.Header = s.forwardedFields(q, table.RequiresKey())
	request.Body = body
	return request, nil
}

// routeOf returns the route of the request whose head has been read.
func routeOf(table thtable.Table, q *fasthttp.Request) (thtable.Route, bool) {
	return routeFor(table, string(q.Header.Host()), string(q.Header.RequestURI()))
}

func routeFor(table thtable.Table, host, uri string) (thtable.Route, bool) {
	path, _, _ := strings.Cut(uri, "?")
	return table.Route(host, path)
}

// timeLeft returns how long the request whose head has been read may still take, or
// defaultTimeout if that is not known.
func (s *Server) timeLeft(q *fasthttp.Request, arrived thclock.Instant) time.Duration {
	if route, ok := routeOf(s.options.Table(), q); ok {
		if timeout, err := s.timeout(q, route); err == nil {
			return arrived.Add(timeout).Sub(s.options.Clock.Now())
		}
	}
	return defaultTimeout
}

// timeout returns how long the request may take from its arrival on: as long as the caller
// waits, or the route's timeout if that is shorter.
func (s *Server) timeout(q *fasthttp.Request, route thtable.Route) (time.Duration, error) {
	timeout, err := s.callerTimeout(q)
	return boundTimeout(timeout, route), err
}

// callerTimeout returns how long the caller will wait for the answer, or
// defaultTimeout if the request does not say.
func (s *Server) callerTimeout(q *fasthttp.Request) (time.Duration, error) {
	text := q.Header.Peek(s.options.HeaderNames.Deadline)
	if s.options.HeaderNames.Deadline == "" || len(text) == 0 {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(ms) || ms <= 0 || ms > math.MaxInt32 {
		return 0, therror.New(therror.RequestMalformed, "%s: %q is no number of milliseconds", s.options.HeaderNames.Deadline, text)
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// forwardedFields returns the header fields to pass on to the target. It leaves
// out the customer's key if callers need one, fields that concern only the caller's
// connection, and those that only this system may set.
func (s *Server) forwardedFields(q *fasthttp.Request, requiresKey bool) []thmessage.HeaderField {
	connection := string(q.Header.Peek(fasthttp.HeaderConnection))
	fs := make([]thmessage.HeaderField, 0, q.Header.Len())
	for k, v := range q.Header.All() {
		name := string(k)
		switch {
		case thmessage.IsHopByHop(name), thmessage.IsListedInConnection(connection, name), name == fasthttp.HeaderHost:
		case requiresKey && name == fasthttp.HeaderAuthorization:
		case s.isReserved(name):
		default:
			fs = append(fs, thmessage.HeaderField{Name: name, Value: string(v)})
		}
	}
	return fs
}

// isReserved reports whether the header field's name has the prefix of names that
// only this system may set.
func (s *Server) isReserved(name string) bool {
	prefix := s.options.HeaderNames.ReservedPrefix
	return prefix != "" && len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}

// forward checks the customer's limit and forwards the request, unless it has
// been refused already. It logs the refusals that the Forwarder does not log, and
// records the result.
func (s *Server) forward(ctx context.Context, request *thmessage.Request, refusal *Refusal) (*thmessage.Answer, *Refusal) {
	var answer *thmessage.Answer
	if refusal == nil && request.Customer.Name != "" {
		refusal = s.options.Forwarder.Admit(request.Customer, request.Route)
	}
	if refusal == nil && s.isRefusing() {
		refusal = stopRefusal()
	}
	if refusal == nil {
		answer, refusal = s.options.Forwarder.Forward(ctx, request)
	} else {
		s.logRefusal(request, refusal)
	}
	s.recordResult(request, answer, refusal)
	return answer, refusal
}

// logRefusal logs the refusal of a request that was not passed to the Forwarder.
func (s *Server) logRefusal(request *thmessage.Request, refusal *Refusal) {
	s.options.Log.Log(thevent.RequestRefused, slices.Concat([]thevent.Field{
		thevent.F("request", request.ID), thevent.F("route", request.Route.Name),
		thevent.F("customer", request.Customer.Name), thevent.F("version", s.options.Table().Version()),
		thevent.F("error", refusal.Err.Error()), thevent.F("afterMillis", refusal.RetryAfter.Milliseconds()),
	}, refusal.LogFields)...)
}

// recordResult passes the request's result to RecordRequest.
func (s *Server) recordResult(request *thmessage.Request, answer *thmessage.Answer, refusal *Refusal) {
	if s.options.RecordRequest == nil {
		return
	}
	result := RequestResult{Request: request, Took: s.options.Clock.Now().Sub(request.Arrived)}
	if refusal != nil {
		result.Kind, result.Refused = therror.KindOf(refusal.Err), true
		result.Status = result.Kind.Answer().Status
	} else {
		result.Status = answer.Status
	}
	s.options.RecordRequest(result)
}

// reply is a target's answer or a refusal, to be written to the caller.
type reply struct {
	answer  *thmessage.Answer
	refusal *Refusal
	// close is set if the connection ends after the reply, omitBody if the reply
	// is to a HEAD request.
	close, omitBody bool
}

// refusalBody is encoded as the JSON body of a refusal.
type refusalBody struct {
	Error   string          `json:"error"`
	Outcome therror.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
	Retry   bool            `json:"retry"`
}

// write writes the reply to bw. If closing is set, the reply announces that the
// connection will be closed.
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

// fillAnswer sets p to the target's answer.
func (r reply) fillAnswer(p *fasthttp.Response) {
	p.SetStatusCode(r.answer.Status)
	for _, f := range r.answer.Header {
		p.Header.Add(f.Name, f.Value)
	}
	if r.omitBody {
		p.SkipBody = true
		return
	}
	p.SetBodyRaw(r.answer.Body)
}

// fillRefusal sets p to the refusal, with a JSON body.
func (r reply) fillRefusal(p *fasthttp.Response) {
	a := therror.KindOf(r.refusal.Err).Answer()
	p.SetStatusCode(a.Status)
	p.Header.SetContentType("application/json")
	if r.refusal.RetryAfter > 0 {
		p.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	detail := ""
	var e *therror.Error
	if errors.As(r.refusal.Err, &e) {
		detail = e.Detail // without the causes, which contain internal addresses
	}
	body, err := json.Marshal(refusalBody{Error: a.Name, Outcome: a.Outcome, Detail: detail, Retry: a.Retry})
	if err != nil {
		body = nil // the status is enough for the caller
	}
	p.SkipBody = r.omitBody
	p.SetBodyRaw(body)
}
