package thcaller

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"

	"github.com/valyala/fasthttp"
)

// The header fields that a caller may set.
const (
	headerKey            = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	// headerTimeout is how long the caller will wait, in milliseconds.
	headerTimeout = "Tamarack-Timeout-Millis"
)

// The header fields that a caller or target is given.
const (
	// HeaderRequestID carries the correlation ID.
	HeaderRequestID = "Tamarack-Request-Id"
	// HeaderCustomer tells a target whose request it is.
	HeaderCustomer = "Tamarack-Customer"
	// HeaderKind carries the kind of a refusal.
	HeaderKind = "Tamarack-Error"
	// HeaderOutcome carries notRun or outcomeUnknown.
	HeaderOutcome = "Tamarack-Outcome"
)

const (
	ownPrefix              = "Tamarack-"
	bearer                 = "Bearer "
	maxIdempotencyKeyBytes = 200
	maxTimeout             = 10 * time.Minute
)

// hopByHop fields concern one connection and are not passed on.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func (s *Server) correlationID() string {
	return s.o.IDPrefix + "-" + strconv.FormatUint(s.requests.Add(1), 36)
}

// keyOf returns the key a request carries; two different ones are refused,
// since it would be unclear for whom the request runs.
func keyOf(q *fasthttp.Request) (string, error) {
	all := q.Header.PeekAll(headerKey)
	if len(all) == 0 {
		return "", therror.New(therror.KeyMissing, "the request carries no key")
	}
	if len(all) > 1 {
		return "", therror.New(therror.RequestMalformed, "the request carries %d keys", len(all))
	}
	text := string(all[0])
	if !strings.HasPrefix(text, bearer) {
		return "", therror.New(therror.KeyMissing, "the key must come as %s: %s<key>", headerKey, bearer)
	}
	return text[len(bearer):], nil
}

// checkKeyKept refuses a request that would show its key to the target.
func checkKeyKept(q *fasthttp.Request, key string) error {
	k := []byte(key)
	if bytes.Contains(q.RequestURI(), k) || bytes.Contains(q.Body(), k) {
		return therror.New(therror.RequestMalformed, "the key may only stand in the %s field", headerKey)
	}
	for name, value := range q.Header.All() {
		if string(name) != headerKey && bytes.Contains(value, k) {
			return therror.New(therror.RequestMalformed, "the key may only stand in the %s field", headerKey)
		}
	}
	return nil
}

// headersFor returns the fields to pass on: not the key, not those of one
// connection, and none that only the fleet may set.
func headersFor(q *fasthttp.Request, r *threquest.Request) []threquest.Header {
	listed := connectionOptions(q.Header.Peek("Connection"))
	hs := make([]threquest.Header, 0, q.Header.Len())
	for name, value := range q.Header.All() {
		n := string(name)
		if n == headerKey || hopByHop[n] || listed[n] || strings.HasPrefix(n, ownPrefix) {
			continue
		}
		hs = append(hs, threquest.Header{Name: n, Value: string(value)})
	}
	if r.Customer.Name != "" {
		hs = append(hs, threquest.Header{Name: HeaderCustomer, Value: r.Customer.Name})
	}
	return hs
}

// connectionOptions returns the fields that the Connection field names.
func connectionOptions(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for name := range strings.SplitSeq(string(value), ",") {
		n := []byte(strings.TrimSpace(name))
		listed[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, n))] = true
	}
	return listed
}

func timeoutOf(q *fasthttp.Request, most time.Duration) (time.Duration, error) {
	text := q.Header.Peek(headerTimeout)
	if len(text) == 0 {
		return most, nil
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n <= 0 || n > int(maxTimeout/time.Millisecond) {
		return 0, therror.New(therror.RequestMalformed, "%s: %q is no whole number of milliseconds from 1 to %d", headerTimeout, text, maxTimeout/time.Millisecond)
	}
	return min(most, time.Duration(n)*time.Millisecond), nil
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Error     string          `json:"error"`
	Outcome   therror.Outcome `json:"outcome"`
	Detail    string          `json:"detail"`
	Retry     bool            `json:"retry"`
	RequestID string          `json:"requestId,omitempty"`
}

func writeRefusal(c *fasthttp.RequestCtx, id string, err error) {
	a := therror.KindOf(err).Answer()
	c.Response.Reset()
	c.SetStatusCode(a.Status)
	c.SetContentType("application/json")
	c.Response.Header.Set(HeaderKind, a.Name)
	c.Response.Header.Set(HeaderOutcome, string(a.Outcome))
	if id != "" {
		c.Response.Header.Set(HeaderRequestID, id)
	}
	data, _ := json.Marshal(refusal{Error: a.Name, Outcome: a.Outcome, Detail: detailOf(err), Retry: a.Retry, RequestID: id})
	c.SetBody(data)
}

// detailOf returns what a caller may read; causes name internal addresses.
func detailOf(err error) string {
	if e, ok := err.(*therror.Error); ok { //nolint:errorlint // only the outermost detail is meant
		return e.Detail
	}
	return ""
}

func writeAnswer(c *fasthttp.RequestCtx, id string, a *threquest.Answer) {
	c.Response.Reset()
	c.SetStatusCode(a.Status)
	for _, h := range a.Headers {
		if !hopByHop[h.Name] && !strings.HasPrefix(h.Name, ownPrefix) {
			c.Response.Header.Add(h.Name, h.Value)
		}
	}
	c.Response.Header.Set(HeaderRequestID, id)
	if c.IsHead() {
		c.Response.SkipBody = true
		return
	}
	c.Response.SetBodyRaw(a.Body)
}
