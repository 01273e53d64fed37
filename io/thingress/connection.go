package thingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

const (
	// maxReadAhead is how many requests are read maxReadAhead of the answers.
	maxReadAhead = 16
	// Defaults of the limits that a table does not set.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleGrace keeps a connection open a little longer than callers use it.
	idleGrace = time.Second
	// bodyTimeout bounds how long a body may take after its header.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds how long a caller may take to read an answer.
	writeTimeout     = 10 * time.Second
	writeBufferBytes = 4 << 10
)

// call is one request on its way from the connection's reader to its writer.
type call struct {
	// reply is set before done is closed.
	reply reply
	done  chan struct{}
	// written is closed once the answer has been written.
	written chan struct{}
}

// connection is one caller's connection. Its reader reads requests and has
// them run; its writer writes the answers in the order of the requests.
type connection struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	calls  chan *call
	// ctx ends when the caller has left.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that were read and not answered.
	pending int
	// awaitingRequest is set while the reader waits for the first byte of a request.
	awaitingRequest bool
	// fullyRead is set while the reader has the last request whole and nothing
	// behind it; a connection that is closed then takes no request with it.
	fullyRead bool
	// closing is set once no further request is taken.
	closing bool
}

func newConnection(s *Server, nc net.Conn) *connection {
	c := &connection{Conn: nc, server: s, calls: make(chan *call, maxReadAhead)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// readRequests reads requests until the caller leaves or the connection is to close.
func (c *connection) readRequests() {
	defer close(c.calls)
	l := c.limits()
	c.reader = bufio.NewReaderSize(c, l.headerBytes)
	var last *call
	for c.awaitRequest(l) {
		l = c.limits()
		next, more := c.acceptRequest(l, last)
		if next != nil {
			last = next
		}
		if !more {
			c.awaitClose()
			return
		}
	}
}

// awaitClose waits until the caller leaves or the writer has closed the connection,
// so that a caller that asked for the last answer and left is noticed too.
func (c *connection) awaitClose() {
	c.setReadDeadline(time.Time{})
	for {
		if _, err := c.reader.Discard(max(1, c.reader.Buffered())); err != nil {
			c.cancel()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request, and returns false when no
// further request is to be read.
func (c *connection) awaitRequest(l limits) bool {
	c.mu.Lock()
	// An answer that was written before the reader came here did not end the
	// connection, and CloseIdle did not see it idle.
	idle := c.pending == 0 && c.reader.Buffered() == 0
	if c.closing || idle && c.server.stopping.Load() {
		c.mu.Unlock()
		return false
	}
	c.awaitingRequest = true
	c.setIdleDeadline(l)
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	c.awaitingRequest = false
	c.fullyRead = c.fullyRead && err != nil
	closing := c.closing
	c.mu.Unlock()
	if err == nil {
		return !closing
	}
	c.cancelUnlessTimeout(err)
	return false
}

// setIdleDeadline bounds the wait for the next request, but not while an
// answer is outstanding. The lock is held.
func (c *connection) setIdleDeadline(l limits) {
	var deadline time.Time
	if c.pending == 0 {
		deadline = time.Now().Add(l.idleTimeout + idleGrace)
	}
	c.setReadDeadline(deadline)
}

// setReadDeadline ignores an error: it says that the connection has ended,
// which the read that follows reports as well.
func (c *connection) setReadDeadline(t time.Time) { _ = c.SetReadDeadline(t) }

// cancelUnlessTimeout ends the requests under way if the caller has cancelUnlessTimeout.
func (c *connection) cancelUnlessTimeout(err error) {
	if isTimeout(err) {
		return
	}
	c.cancel()
}

// acceptRequest reads one request and starts it. It returns false if the connection
// takes no further request.
func (c *connection) acceptRequest(l limits, last *call) (*call, bool) {
	c.setReadDeadline(time.Now().Add(l.headerTimeout))
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetNoDefaultContentType(true)
	if err := c.readRequest(q, l); err != nil {
		if err = refusalOf(err); err == nil {
			c.cancel()
			return nil, false
		}
		next := c.newCall()
		next.reply = reply{refusal: &Refusal{Err: err}, close: true}
		close(next.done)
		c.calls <- next
		return next, false
	}
	c.setReadDeadline(time.Time{})
	next := c.newCall()
	m, refusal := c.server.convertRequest(q)
	next.reply.close = q.ConnectionClose() || !q.Header.IsHTTP11()
	next.reply.omitBody = q.Header.IsHead()
	c.calls <- next
	c.startCall(next, m, refusal, last)
	return next, !next.reply.close
}

func (c *connection) readRequest(q *fasthttp.Request, l limits) error {
	if err := q.Header.Read(c.reader); err != nil {
		return err
	}
	if q.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return err
		}
	}
	if err := checkFraming(&q.Header); err != nil {
		return err
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	return q.ContinueReadBody(c.reader, l.bodyBytes, false)
}

// writeContinue answers the expectation of a caller that waits before it sends
// a body, unless earlier answers are outstanding.
func (c *connection) writeContinue() error {
	c.mu.Lock()
	idle := c.pending == 0
	c.mu.Unlock()
	if !idle {
		return nil
	}
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

func (c *connection) newCall() *call {
	c.mu.Lock()
	c.pending++
	c.fullyRead = c.reader.Buffered() == 0
	c.mu.Unlock()
	return &call{done: make(chan struct{}), written: make(chan struct{})}
}

// startCall starts the request. One that may startCall only once starts after the answers
// before it are written: behind an answer that closes the connection it counts
// as not read.
func (c *connection) startCall(next *call, m *thmessage.Request, refusal *Refusal, last *call) {
	s := c.server
	s.inFlight.Add(1)
	task := func() {
		defer s.inFlight.Add(-1)
		defer close(next.done)
		if refusal == nil && last != nil && !m.Route.IsIdempotent() {
			select {
			case <-last.written:
			case <-c.ctx.Done():
				refusal = &Refusal{Err: therror.New(therror.CallerGone, "the caller left before its request was sent")}
			}
		}
		next.reply.answer, next.reply.refusal = s.forward(c.ctx, m, refusal)
	}
	if err := s.options.Submit(task); err != nil {
		s.inFlight.Add(-1)
		next.reply.refusal = &Refusal{Err: therror.Wrap(therror.QueueFull, err, "no worker is free")}
		close(next.done)
	}
}

// writeReplies writes the answers in order.
func (c *connection) writeReplies() {
	defer c.server.removeConnection(c)
	defer func() {
		_ = c.Close() // the caller has been answered or has left
	}()
	defer c.cancel()
	bw := bufio.NewWriterSize(c, writeBufferBytes)
	open := true
	for next := range c.calls {
		<-next.done
		if open {
			open = c.writeReply(bw, next)
		}
		close(next.written)
		if !open {
			// The reader ends at the closed connection, and closes calls.
			c.cancel()
			_ = c.Close()
		}
	}
}

// writeReply writes one answer, and reports whether the connection stays open.
func (c *connection) writeReply(bw *bufio.Writer, next *call) bool {
	c.mu.Lock()
	c.pending--
	last := c.server.IsDraining() && c.pending == 0 && c.fullyRead
	if last || next.reply.close {
		c.closing = true
	}
	if c.awaitingRequest && !c.closing {
		c.setIdleDeadline(c.limits())
	}
	closing := last || next.reply.close
	c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if err := next.reply.write(bw, c.server.options.Names, closing); err != nil {
		return false
	}
	return bw.Flush() == nil && !closing
}

// closeIfIdle closes the connection if nothing is under way on it.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.pending == 0 {
		c.closing = true
		c.setReadDeadline(time.Now())
	}
}

type limits struct {
	headerBytes, bodyBytes     int
	headerTimeout, idleTimeout time.Duration
}

func (c *connection) limits() limits {
	t := c.server.options.Table().Limits()
	return limits{
		headerBytes:   orDefault(t.HeaderBytes, defaultHeaderBytes),
		bodyBytes:     orDefault(t.BodyBytes, defaultBodyBytes),
		headerTimeout: orDefault(time.Duration(t.HeaderTimeoutMillis)*time.Millisecond, defaultHeaderTimeout),
		idleTimeout:   orDefault(time.Duration(t.IdleTimeoutMillis)*time.Millisecond, defaultIdleTimeout),
	}
}

func orDefault[N int | time.Duration](n, otherwise N) N {
	if n <= 0 {
		return otherwise
	}
	return n
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
