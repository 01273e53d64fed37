package thtarget

import (
	"strconv"
	"strings"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"

	"github.com/valyala/fasthttp"
)

const (
	// headerRequestID carries the correlation ID; a target may echo it.
	headerRequestID = "Tamarack-Request-Id"
	// headerDeadline carries the time left, in milliseconds.
	headerDeadline = "Tamarack-Deadline-Millis"
	// headerCustomer tells a target whose request it is.
	headerCustomer = "Tamarack-Customer"
	// headerOwn begins the names that only this system sets.
	headerOwn = "Tamarack-"
	// headerKey carries the caller's key, which no target sees.
	headerKey = "Authorization"
)

// checkRequest refuses what cannot be written as one request line, and
// methods that would turn the connection into something else.
func checkRequest(q *threquest.Request) error {
	if q.Method == "" || q.Method == fasthttp.MethodConnect || !isToken(q.Method) {
		return therror.New(therror.RequestMalformed, "method")
	}
	if q.URI == "" || strings.ContainsFunc(q.URI, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return therror.New(therror.RequestMalformed, "URI")
	}
	return nil
}

func isToken(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') && r != '-' && r != '_'
	})
}

// hopByHop reports whether a field concerns one connection only.
func hopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 6:
		return strings.EqualFold(name, "Expect")
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	case 18:
		return strings.EqualFold(name, "Proxy-Authenticate")
	case 19:
		return strings.EqualFold(name, "Proxy-Authorization")
	}
	return false
}

// forTarget reports whether a field of the request may reach a target. Of the
// system's own only the customer's name may, and only if it is true.
func forTarget(f threquest.Header, customer string) bool {
	if hopByHop(f.Name) || strings.EqualFold(f.Name, headerKey) {
		return false
	}
	if len(f.Name) < len(headerOwn) || !strings.EqualFold(f.Name[:len(headerOwn)], headerOwn) {
		return true
	}
	return strings.EqualFold(f.Name, headerCustomer) && f.Value == customer && customer != ""
}

// named reports whether the field is one that a Connection field names.
func named(connection []threquest.Header, name string) bool {
	for _, h := range connection {
		for part := range strings.SplitSeq(h.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

func connectionFields(hs []threquest.Header) []threquest.Header {
	var found []threquest.Header
	for _, h := range hs {
		if strings.EqualFold(h.Name, fasthttp.HeaderConnection) {
			found = append(found, h)
		}
	}
	return found
}

// fillRequest makes the HTTP request. It holds the body only until released.
func fillRequest(r *fasthttp.Request, target string, q *threquest.Request, millis int64) {
	h := &r.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(q.Method)
	h.SetRequestURI(q.URI)
	h.SetHost(target)
	connection := connectionFields(q.Headers)
	for _, f := range q.Headers {
		if forTarget(f, q.Customer.Name) && (connection == nil || !named(connection, f.Name)) {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(headerRequestID, q.ID)
	var digits [20]byte
	h.SetBytesV(headerDeadline, strconv.AppendInt(digits[:0], max(1, millis), 10))
	r.SetBodyRaw(q.Body)
}

// copyHeaders copies the answer's fields into one string, so that nothing of
// the HTTP library is kept.
func copyHeaders(h *fasthttp.ResponseHeader, scratch []byte, keepLength bool) ([]threquest.Header, []byte) {
	type span struct{ begin, middle, end int }
	var room [32]span
	spans := room[:0]
	scratch = scratch[:0]
	connection := string(h.Peek(fasthttp.HeaderConnection))
	var fields []threquest.Header
	if connection != "" {
		fields = []threquest.Header{{Value: connection}}
	}
	for k, v := range h.All() {
		isLength := keepLength && len(k) == len("Content-Length") && strings.EqualFold(string(k), "Content-Length")
		if !isLength && (hopByHop(string(k)) || strings.EqualFold(string(k), headerRequestID)) {
			continue
		}
		if fields != nil && named(fields, string(k)) {
			continue
		}
		s := span{begin: len(scratch)}
		scratch = append(scratch, k...)
		s.middle = len(scratch)
		scratch = append(scratch, v...)
		s.end = len(scratch)
		spans = append(spans, s)
	}
	all := string(scratch)
	hs := make([]threquest.Header, len(spans))
	for i, s := range spans {
		hs[i] = threquest.Header{Name: all[s.begin:s.middle], Value: all[s.middle:s.end]}
	}
	return hs, scratch
}
