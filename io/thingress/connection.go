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
	"tamarackhollow/core/thmemory"
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
	// held is what the request holds, and then its answer until it has been written. It is nil if
	// the request could not be read.
	held *holding
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
	// held is what the connection holds without its requests. It is set before any is read.
	held holding
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
	// isWriting is set while a reply is being written.
	isWriting bool
	// isReading is set while the rest of a request is being read whose head has been.
	isReading bool
	// displaced is set once the connection has to end what it reads, so that others get its
	// memory.
	displaced bool
	// closesSoon is set if the connection has to end soon after its last reply.
	closesSoon bool
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
	if !c.open() {
		c.abort()
		return
	}
	defer c.held.close()
	var writer sync.WaitGroup
	writer.Go(c.writeReplies)
	c.readRequests()
	close(c.calls)
	c.awaitClose()
	c.abort()
	writer.Wait()
}

// open adds the connection to the account of callers' memory. It returns false if there is no room.
func (c *connection) open() bool {
	held, granted := c.server.memory.openConnection(int64(c.limits().headerBytes)+connectionBytes, c.giveWay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = held
	return granted
}

// giveWay ends what takes memory that others need: a request that is being read, an answer that is
// not being read, or the whole connection if it is idle.
func (c *connection) giveWay(phase thmemory.Phase) {
	if phase == thmemory.Writing {
		c.abort()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.displaced = true
	c.setReadDeadline(time.Now())
}

// setPhaseLocked tells the account whether the connection is idle. It returns false if the connection
// has to give way. c.mu must be held.
func (c *connection) setPhaseLocked() bool {
	if c.pending > 0 || c.isReading {
		return c.held.setPhase(thmemory.Running)
	}
	return c.held.setPhase(thmemory.Idle)
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
// the connection is closed: the next read reports that as well. Once the connection has been
// displaced, reads fail at once. c.mu must be held.
func (c *connection) setReadDeadline(t time.Time) {
	if c.displaced {
		t = time.Unix(1, 0)
	}
	_ = c.SetReadDeadline(t)
}

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
	in, err := c.readRequest(q, l, arrived)
	if err != nil {
		in.held.close()
		return c.refuseUnread(q, err), false
	}
	c.setReadUntil(time.Time{})
	next := c.newCall()
	next.held = in.held
	closes := q.ConnectionClose() || !q.Header.IsHTTP11()
	next.reply.close = closes
	next.reply.omitBody = q.Header.IsHead()
	c.calls <- next
	c.startCall(next, in.request, in.refusal, previous)
	return next, !closes
}

// refuseUnread replies to a request that could not be read because of the error. It returns
// nil if the caller closed the connection.
func (c *connection) refuseUnread(q *fasthttp.Request, err error) *call {
	if c.endDisplacement() && isTimeout(err) {
		err = errBodyMemory
	}
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

// endDisplacement reports whether the connection has been displaced, and lets it read again, so that
// the refusal arrives before the connection ends.
func (c *connection) endDisplacement() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	displaced := c.displaced
	c.displaced = false
	c.closesSoon = c.closesSoon || displaced
	return displaced
}

// readRequest reads one request, whose head begins to arrive at the given time, into q, but its body
// into pieces of its own. It returns what the request holds, also with an error.
func (c *connection) readRequest(q *fasthttp.Request, l limits, arrived thclock.Instant) (in incoming, err error) {
	c.setReadUntil(time.Now().Add(l.headerTimeout))
	if err := q.Header.Read(c.input); err != nil {
		return in, err
	}
	if q.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return in, err
		}
	}
	if err := checkFraming(&q.Header); err != nil {
		return in, err
	}
	c.server.awaitConfiguration(c.ctx)
	in.request, in.refusal = c.server.convertRequest(q, nil, arrived)
	in.held = c.server.memory.openRequest(c.held.id, c.server.ownerOf(in.request, in.refusal), c.giveWay)
	if !c.beginReading() || !in.held.grow(requestBytes+headFactor*int64(len(q.Header.RawHeaders()))) {
		return in, errBodyMemory
	}
	if length := q.Header.ContentLength(); length == 0 || length == noBody {
		return in, in.markRead()
	}
	body, err := c.readBody(q, l, in.held, isFinal(in.refusal), arrived)
	if err != nil {
		return in, err
	}
	if !isFinal(in.refusal) {
		// The key may have been revoked while the body arrived.
		in.request, in.refusal = c.server.convertRequest(q, body, arrived)
	}
	return in, in.markRead()
}

// noBody is fasthttp's content length of a request that has neither a length nor chunks.
const noBody = -2

// beginReading marks the connection as busy. It returns false if it has to give way.
func (c *connection) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = true
	return c.setPhaseLocked()
}

// markRead marks the request as one that does not give way any more.
func (in incoming) markRead() error {
	isGranted := in.refusal != nil || in.held.grow(runningBytes)
	if !in.held.setPhase(thmemory.Running) || !isGranted {
		return errBodyMemory
	}
	return nil
}

// writeContinue sends "100 Continue" to a caller that waits for it before it
// sends the body. It sends nothing while earlier answers are pending.
func (c *connection) writeContinue() error {
	c.mu.Lock()
	idle := c.pending == 0 && !c.isWriting
	c.mu.Unlock()
	if !idle {
		return nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// newCall counts a request as pending and returns its call.
func (c *connection) newCall() *call {
	c.mu.Lock()
	c.pending++
	c.isReading = false
	c.setPhaseLocked()
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
		if refusal == nil && previous != nil && !request.Route.IsIdempotent() {
			select {
			case <-previous.written:
			case <-c.ctx.Done():
				refusal = &Refusal{Err: therror.New(therror.CallerGone, "the caller left before its request was sent")}
			}
		}
		next.reply.answer, next.reply.refusal = s.forward(c.ctx, request, refusal)
		next.holdAnswer(s, request)
	}
	if err := s.options.Submit(task); err != nil {
		s.inFlight.Add(-1)
		next.held.release()
		next.reply.refusal = &Refusal{Err: therror.Wrap(therror.QueueFull, err, "no worker is free")}
		close(next.done)
	}
}

// holdAnswer charges the answer in place of its request, which has ended. Without room for it, the
// caller gets a refusal.
func (n *call) holdAnswer(s *Server, request *thmessage.Request) {
	n.held.release()
	if n.reply.answer == nil {
		return
	}
	bytes := requestBytes + int64(cap(n.reply.answer.Body))
	for _, f := range n.reply.answer.Header {
		bytes += int64(len(f.Name) + len(f.Value))
	}
	n.held.setPhase(thmemory.Writing)
	if !n.held.grow(bytes) {
		n.reply.answer = nil
		n.reply.refusal = &Refusal{Err: therror.New(therror.AnswerLost, "no memory is left for the answer")}
		s.logRefusal(request, n.reply.refusal)
	}
}

// progressWriter writes a connection's replies and records their progress. Only the writer uses it.
type progressWriter struct {
	c *connection
	// held is what the reply holds, nil if the request could not be read.
	held *holding
}

// progressStep is how much is written at once, so that a slow caller is seen to read.
const progressStep = 64 << 10

func (w *progressWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := w.c.Write(b[written:min(len(b), written+progressStep)])
		written += n
		if err != nil {
			return written, err
		}
		if w.held != nil {
			w.held.progress(n)
		}
	}
	return written, nil
}

// writeReplies writes the replies in the order of the requests. After the last reply
// or an error it drops those that remain.
func (c *connection) writeReplies() {
	w := &progressWriter{c: c}
	bw := bufio.NewWriterSize(w, writeBufferBytes)
	open := true
	for next := range c.calls {
		<-next.done
		if open {
			w.held = next.held
			open = c.writeReply(bw, next)
		}
		next.held.close()
		next.reply = reply{} // the reader keeps the call until the next request
		close(next.written)
	}
}

// writeReply writes one reply and reports whether further ones may be written.
func (c *connection) writeReply(bw *bufio.Writer, next *call) bool {
	c.mu.Lock()
	c.pending--
	c.isWriting = true
	last := c.pending == 0 && (c.closing || c.server.IsDraining() && c.fullyRead)
	closing := next.reply.close || last
	if closing {
		c.closing, c.endAnnounced = true, true
	}
	if c.awaitingRequest && !c.closing {
		c.setIdleDeadline(c.limits())
	}
	c.mu.Unlock()
	if next.reply.answer != nil {
		next.held.setPhase(thmemory.Writing) // its time begins now
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isWriting = false
		c.setPhaseLocked()
	}()
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
