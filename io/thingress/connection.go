package thingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

const (
	// maxReadAhead bounds the pipelined requests that are read on a connection
	// while an earlier one waits for its answer.
	maxReadAhead = 16
	// These limits apply where the table sets none.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleGrace is added to the idle timeout, so that callers stop using a
	// connection before the server closes it.
	idleGrace = time.Second
	// bodyTimeout bounds the time to read a body once the header has been read.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time that a caller may take to read an answer.
	writeTimeout     = 10 * time.Second
	writeBufferBytes = 4 << 10
)

// call passes a request's reply from the task that forwards the request to the
// connection's writer.
type call struct {
	// reply is complete once done is closed.
	reply reply
	done  chan struct{}
	// written is closed once the reply has been written or dropped.
	written chan struct{}
	// held is what the request's body holds until the call is complete.
	held heldBody
}

// connection is one caller's connection. One goroutine, the reader, reads the
// requests and starts them; another, the writer, writes the replies in the order
// of the requests. The reader closes the connection, unless the writer fails; see
// closing.go.
type connection struct {
	net.Conn
	server *Server
	input  *bufio.Reader
	calls  chan *call
	// reading is the chunked body that is being read, nil if none is. Only the reader
	// uses it.
	reading *heldBody
	// ctx is cancelled when the caller closes the connection or no further reply
	// is to be written.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that have been read but not answered.
	pending int
	// awaitingRequest is set while the reader waits for the first byte of a
	// request.
	awaitingRequest bool
	// fullyRead is set while no byte after the last request has been received, so
	// that closing the connection loses no request.
	fullyRead bool
	// readUntil is when the request that is being read has to be complete; zero if none is
	// being read.
	readUntil time.Time
	// closing is set once no further request is accepted.
	closing bool
	// endAnnounced is set once the writer has begun a reply that announces the end of the
	// connection.
	endAnnounced bool
	// discardUntil is when the connection is closed at the latest after that reply. It is
	// zero until the reply has been written.
	discardUntil time.Time
}

func newConnection(s *Server, nc net.Conn) *connection {
	c := &connection{Conn: nc, server: s, calls: make(chan *call, maxReadAhead)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve serves the connection's requests and returns once the connection is closed
// and none of its requests is in flight.
func (c *connection) serve() {
	defer c.server.removeConnection(c)
	var writer sync.WaitGroup
	writer.Go(c.writeReplies)
	c.readRequests()
	close(c.calls)
	c.awaitClose()
	c.abort()
	writer.Wait()
}

// readRequests reads and starts requests until the caller closes the connection
// or no further request is to be accepted.
func (c *connection) readRequests() {
	l := c.limits()
	c.input = bufio.NewReaderSize(c, l.headerBytes)
	var previous *call
	for c.awaitRequest(l) {
		l = c.limits()
		next, more := c.acceptRequest(l, previous)
		if !more {
			return
		}
		previous = next
	}
}

// awaitRequest waits for the first byte of a request. It returns false if no
// further request is to be read.
func (c *connection) awaitRequest(l limits) bool {
	c.mu.Lock()
	// CloseIdle skips a connection whose reader has not got here yet, and writeReply
	// leaves it open if it wrote the last answer before the drain began. Then a request
	// that has arrived is the last one to be read.
	if c.server.stopping.Load() && (c.pending > 0 || c.input.Buffered() == 0) {
		c.closing = true
	}
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.awaitingRequest = true
	c.setIdleDeadline(l)
	c.mu.Unlock()
	_, err := c.input.Peek(1)
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

// setIdleDeadline applies the idle timeout to the wait for the next request, or
// no deadline while an answer is pending. c.mu must be held.
func (c *connection) setIdleDeadline(l limits) {
	var deadline time.Time
	if c.pending == 0 {
		deadline = time.Now().Add(l.idleTimeout + idleGrace)
	}
	c.setReadDeadline(deadline)
}

// setReadUntil sets the time by which the request that is being read has to be complete.
// The zero time means that none is being read.
func (c *connection) setReadUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = t
	c.setReadDeadline(t)
	c.boundReadingLocked()
}

// boundReading ends the reading of a request when the server refuses it anyway.
func (c *connection) boundReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boundReadingLocked()
}

// boundReadingLocked is boundReading for callers that hold c.mu.
func (c *connection) boundReadingLocked() {
	refuseAt := c.server.refuseAt.Load()
	if refuseAt != nil && refuseAt.Before(c.readUntil) {
		c.setReadDeadline(*refuseAt)
	}
}

// setReadDeadline sets the read deadline. It ignores the error, which means that
// the connection is closed: the next read reports that as well.
func (c *connection) setReadDeadline(t time.Time) { _ = c.SetReadDeadline(t) }

// cancelUnlessTimeout cancels the connection's requests after a read error that
// shows that the caller has closed the connection.
func (c *connection) cancelUnlessTimeout(err error) {
	if isTimeout(err) {
		return
	}
	c.cancel()
}

// acceptRequest reads one request and starts it, or replies with a refusal if it
// is invalid. It returns nil if the caller closed the connection before the whole
// request was read, and false if the connection accepts no further request.
func (c *connection) acceptRequest(l limits, previous *call) (*call, bool) {
	arrived := c.server.options.Clock.Now()
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetNoDefaultContentType(true)
	body, held, err := c.readRequest(q, l, arrived)
	if err != nil {
		held.release()
		return c.refuseUnread(q, err), false
	}
	c.setReadUntil(time.Time{})
	next := c.newCall()
	next.held = held
	c.server.awaitConfiguration(c.ctx)
	request, refusal := c.server.convertRequest(q, body, arrived)
	next.reply.close = q.ConnectionClose() || !q.Header.IsHTTP11()
	next.reply.omitBody = q.Header.IsHead()
	c.calls <- next
	c.startCall(next, request, refusal, previous)
	return next, !next.reply.close
}

// refuseUnread replies to a request that could not be read because of the error. It returns
// nil if the caller closed the connection.
func (c *connection) refuseUnread(q *fasthttp.Request, err error) *call {
	refusal := c.server.refusalOf(err)
	if refusal == nil {
		c.cancel()
		return nil
	}
	c.server.logRefusal(&thmessage.Request{ID: string(q.Header.Peek(c.server.options.HeaderNames.RequestID))}, refusal)
	next := c.newCall()
	next.reply = reply{refusal: refusal, close: true}
	close(next.done)
	c.calls <- next
	return next
}

// readRequest reads one request, which has begun to arrive at the given time, into q, but
// its body into a buffer of its own. It returns what the body holds, also with an error.
func (c *connection) readRequest(q *fasthttp.Request, l limits, arrived thclock.Instant) (body []byte, held heldBody, err error) {
	c.setReadUntil(time.Now().Add(l.headerTimeout))
	if err := q.Header.Read(c.input); err != nil {
		return nil, held, err
	}
	if q.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return nil, held, err
		}
	}
	if err := checkFraming(&q.Header); err != nil {
		return nil, held, err
	}
	c.setReadUntil(time.Now().Add(min(bodyTimeout, c.server.timeLeft(q, arrived))))
	return c.readBody(q, l)
}

// writeContinue sends "100 Continue" to a caller that waits for it before it
// sends the body. It sends nothing while earlier answers are pending.
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

// newCall counts a request as pending and returns its call.
func (c *connection) newCall() *call {
	c.mu.Lock()
	c.pending++
	c.fullyRead = c.input.Buffered() == 0
	c.mu.Unlock()
	return &call{done: make(chan struct{}), written: make(chan struct{})}
}

// startCall submits a task that forwards the request and completes the call. A
// request that is not idempotent is forwarded only after the replies before it
// have been written: if one of them closes the connection, the request counts as
// not read and must not run.
func (c *connection) startCall(next *call, request *thmessage.Request, refusal *Refusal, previous *call) {
	s := c.server
	s.inFlight.Add(1)
	task := func() {
		defer s.inFlight.Add(-1)
		defer close(next.done)
		defer next.held.release()
		if refusal == nil && previous != nil && !request.Route.IsIdempotent() {
			select {
			case <-previous.written:
			case <-c.ctx.Done():
				refusal = &Refusal{Err: therror.New(therror.CallerGone, "the caller left before its request was sent")}
			}
		}
		next.reply.answer, next.reply.refusal = s.forward(c.ctx, request, refusal)
	}
	if err := s.options.Submit(task); err != nil {
		s.inFlight.Add(-1)
		next.held.release()
		next.reply.refusal = &Refusal{Err: therror.Wrap(therror.QueueFull, err, "no worker is free")}
		close(next.done)
	}
}

// writeReplies writes the replies in the order of the requests. After the last reply
// or an error it drops those that remain.
func (c *connection) writeReplies() {
	bw := bufio.NewWriterSize(c, writeBufferBytes)
	open := true
	for next := range c.calls {
		<-next.done
		if open {
			open = c.writeReply(bw, next)
		}
		close(next.written)
	}
}

// writeReply writes one reply and reports whether further ones may be written.
func (c *connection) writeReply(bw *bufio.Writer, next *call) bool {
	c.mu.Lock()
	c.pending--
	last := c.pending == 0 && (c.closing || c.server.IsDraining() && c.fullyRead)
	closing := next.reply.close || last
	if closing {
		c.closing, c.endAnnounced = true, true
	}
	if c.awaitingRequest && !c.closing {
		c.setIdleDeadline(c.limits())
	}
	c.mu.Unlock()
	if c.ctx.Err() != nil || !c.write(bw, next, closing) {
		c.abort()
		return false
	}
	if closing {
		c.closeAfterReply()
	}
	return !closing
}

// write writes the reply by writeTimeout and reports whether it succeeded.
func (c *connection) write(bw *bufio.Writer, next *call, closing bool) bool {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	return next.reply.write(bw, c.server.options.HeaderNames, closing) == nil && bw.Flush() == nil
}

// limits bound the size of a request and the time to wait for it.
type limits struct {
	headerBytes, bodyBytes     int
	headerTimeout, idleTimeout time.Duration
}

// limits returns the table's current limits.
func (c *connection) limits() limits {
	t := c.server.options.Table().Limits()
	return limits{
		headerBytes:   orDefault(t.HeaderBytes, defaultHeaderBytes),
		bodyBytes:     orDefault(t.BodyBytes, defaultBodyBytes),
		headerTimeout: orDefault(time.Duration(t.HeaderTimeoutMillis)*time.Millisecond, defaultHeaderTimeout),
		idleTimeout:   orDefault(time.Duration(t.IdleTimeoutMillis)*time.Millisecond, defaultIdleTimeout),
	}
}

// orDefault returns n if it is positive, else fallback.
func orDefault[N int | time.Duration](n, fallback N) N {
	if n <= 0 {
		return fallback
	}
	return n
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
