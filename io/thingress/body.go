package thingress

import (
	"errors"
	"io"
	"sync"
	"time"

	"tamarackhollow/core/thmemory"
	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

// chunkedFactor is how many times its length the buffer of a chunked body may take, since
// the buffer doubles as it grows.
const chunkedFactor = 2

// retryAfterBody is the time after which a caller may return whose body had no room. Bodies
// take seconds to arrive.
const retryAfterBody = time.Second

// errBodyMemory means that the bodies that are held leave no room for one more.
var errBodyMemory = errors.New("the bodies of requests take all memory that is left for them")

// bodyMemory counts the bodies that the VM holds for callers, by customer.
type bodyMemory struct {
	mu sync.Mutex
	// ledger is guarded by mu.
	ledger thmemory.Ledger
}

// heldBody is the memory of one request's body. The zero value holds nothing.
type heldBody struct {
	memory *bodyMemory
	// holder is the name of the customer, or empty if the request has no valid key.
	holder string
	bytes  int64
}

// grow holds more bytes. It returns false if there is no room for them.
func (h *heldBody) grow(bytes int64) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if !h.memory.ledger.Hold(h.holder, bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// release gives back what is held.
func (h *heldBody) release() {
	if h.bytes == 0 {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Release(h.holder, h.bytes)
	h.bytes = 0
}

// LimitBodies bounds the bytes of all requests' bodies that the server holds; 0 means no
// bound. A customer may take three quarters of what the others leave.
func (s *Server) LimitBodies(bytes int64) {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()
	s.bodies.ledger.SetLimit(bytes)
}

// BodyBytes returns the bytes of all requests' bodies that the server holds.
func (s *Server) BodyBytes() int64 {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()
	return s.bodies.ledger.Used()
}

// holdBody returns what the body of the request, whose head has been read, holds: nothing
// yet.
func (s *Server) holdBody(q *fasthttp.Request) heldBody {
	var keyed thmessage.Request
	if s.authenticate(q, &keyed) != nil {
		return heldBody{memory: &s.bodies} // it will be refused
	}
	return heldBody{memory: &s.bodies, holder: keyed.Customer.Name}
}

// readBody reads the body of the request, whose head has been read, and returns it with
// what it holds, also if it returns an error.
func (c *connection) readBody(q *fasthttp.Request, l limits) (body []byte, held heldBody, err error) {
	length := q.Header.ContentLength()
	switch {
	case length > l.bodyBytes:
		return nil, held, fasthttp.ErrBodyTooLarge
	case length > 0:
		if held = c.server.holdBody(q); !held.grow(int64(length)) {
			return nil, held, errBodyMemory
		}
		body = make([]byte, length)
		_, err = io.ReadFull(c.input, body)
		return body, held, err
	case length == 0:
		return nil, held, nil
	}
	held = c.server.holdBody(q)
	if !held.grow(chunkedFactor * int64(c.input.Buffered())) {
		return nil, held, errBodyMemory
	}
	c.reading = &held
	defer func() { c.reading = nil }()
	err = q.ContinueReadBody(c.input, l.bodyBytes, false)
	return q.SwapBody(nil), held, err
}

// Read reads from the caller. It returns errBodyMemory if there is no room for what it has
// read of a chunked body.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && c.reading != nil && !c.reading.grow(chunkedFactor*int64(n)) {
		return 0, errBodyMemory // fasthttp ignores an error that comes with bytes
	}
	return n, err
}
