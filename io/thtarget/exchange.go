package thtarget

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"

	"github.com/valyala/fasthttp"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
	// maxInterim is how many 1xx answers may come before the final one.
	maxInterim = 8
	// earlyAnswerWait is how long to look for an answer after the target has
	// stopped taking the request.
	earlyAnswerWait = time.Second
	// silenceShare is the part of the time left that a silent connection may
	// cost, so that another attempt still has time.
	silenceShare = 2
)

var (
	errCloseDelimited = errors.New("the answer has no length, so whether it is whole cannot be told")
	errLeftover       = errors.New("more bytes came than the answer's length says")
	errSwitched       = errors.New("the target switched protocols")
	errInterim        = errors.New("too many interim answers")
	errNotOurs        = errors.New("the answer carries another request's correlation ID")
	errEarly          = errors.New("the target answered or closed before it had the request")
	errTooLarge       = errors.New("the answer is larger than the limit")
)

// buffers are what one exchange needs; a connection holds none while idle.
type buffers struct {
	reader  *bufio.Reader
	writer  *bufio.Writer
	scratch []byte
}

var bufferPool = sync.Pool{New: func() any {
	return &buffers{
		reader: bufio.NewReaderSize(nil, readBufferBytes),
		writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}}

func acquireBuffers(n *connection) *buffers {
	b, _ := bufferPool.Get().(*buffers)
	b.reader.Reset(n)
	b.writer.Reset(n)
	return b
}

func releaseBuffers(b *buffers) {
	b.reader.Reset(nil)
	b.writer.Reset(nil)
	bufferPool.Put(b)
}

// exchange writes the request and reads its answer. It reports whether the
// attempt may go on with a new connection, which is so only if this one was
// reused and took no byte.
func (c *Client) exchange(ctx context.Context, p *pool, n *connection, a *threquest.Attempt, q *threquest.Request) bool {
	now := c.options.Clock.Now()
	left := timeLeft(ctx, rest(now, q.Deadline))
	if left <= 0 {
		p.discard(n)
		a.Err = therror.New(therror.QueueTimeout, "no time is left to send the request")
		return false
	}
	a.Reused = n.served > 0
	wall := time.Now()
	n.begin(wall.Add(firstByteWait(p, a, q, left, rest(now, q.Deadline))), wall.Add(left), requestSize(q))
	stop := context.AfterFunc(ctx, n.abort)
	answer, keep, err := c.talk(p, n, a, q, left)
	if !stop() {
		keep = false
	}
	a.Sent = n.written > 0
	if err == nil {
		a.Answer = answer
		a.Err = nil
		c.settle(p, n, now, keep)
		return false
	}
	p.discard(n)
	if !a.Sent && a.Reused && ctx.Err() == nil {
		return true
	}
	if a.Reused && n.got == 0 && timedOut(ctx, n, err) {
		p.suspect()
	}
	a.Err = c.failure(ctx, n, a, q, err)
	return false
}

func (c *Client) settle(p *pool, n *connection, began thclock.Instant, keep bool) {
	if !keep {
		p.discard(n)
		return
	}
	n.served++
	now := c.options.Clock.Now()
	p.put(n, now, now.Sub(began))
}

// talk returns the whole answer, and whether the connection is clean after it.
func (c *Client) talk(p *pool, n *connection, a *threquest.Attempt, q *threquest.Request, left time.Duration) (*threquest.Answer, bool, error) {
	b := acquireBuffers(n)
	defer releaseBuffers(b)
	early, err := write(n, b, a.Target, q, left)
	if err != nil {
		return nil, false, err
	}
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	if err := readAnswer(b.reader, r, q, c.options.MaxAnswerBytes); err != nil {
		return nil, false, err
	}
	answer := &threquest.Answer{Status: r.StatusCode(), Body: takeBody(r), Target: a.Target, Attempts: 1}
	answer.Headers, b.scratch = copyHeaders(&r.Header, b.scratch, q.Method == fasthttp.MethodHead)
	return answer, !early && !r.Header.ConnectionClose(), nil
}

// write sends the request. It reports early if the target stopped taking it
// but may have answered already.
func write(n *connection, b *buffers, target string, q *threquest.Request, left time.Duration) (early bool, err error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	fillRequest(r, target, q, left.Milliseconds())
	err = r.Write(b.writer)
	if err == nil {
		err = b.writer.Flush()
	}
	if err == nil {
		return false, nil
	}
	if n.written == 0 || isTimeout(err) {
		return false, err
	}
	n.extend = time.Time{}
	_ = n.SetReadDeadline(time.Now().Add(min(left, earlyAnswerWait)))
	return true, nil
}

// firstByteWait returns how long the answer may take to begin. On a reused
// connection, which may have gone silent, that is shorter if the request can
// be repeated.
func firstByteWait(p *pool, a *threquest.Attempt, q *threquest.Request, left, all time.Duration) time.Duration {
	if !a.Reused || !q.RepeatSafe() {
		return left
	}
	return min(p.silence(), left, all/silenceShare)
}

// requestSize returns about how many bytes the request takes.
func requestSize(q *threquest.Request) int {
	size := len(q.URI) + len(q.Body)
	for _, h := range q.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// readAnswer reads one final answer to its end and makes sure that it is the
// request's own and that nothing follows it.
func readAnswer(br *bufio.Reader, r *fasthttp.Response, q *threquest.Request, maxBytes int) error {
	r.Header.SetNoDefaultContentType(true)
	if err := readFinalHeader(br, r); err != nil {
		return err
	}
	if echo := r.Header.Peek(headerRequestID); len(echo) > 0 && string(echo) != q.ID {
		return errNotOurs
	}
	if err := readBody(br, r, q, maxBytes); err != nil {
		return err
	}
	if br.Buffered() > 0 {
		return errLeftover
	}
	return nil
}

func readFinalHeader(br *bufio.Reader, r *fasthttp.Response) error {
	for range maxInterim {
		if err := r.Header.Read(br); err != nil {
			return err
		}
		status := r.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols || status < 100 {
			return errSwitched
		}
		if status >= 200 {
			return nil
		}
	}
	return errInterim
}

func readBody(br *bufio.Reader, r *fasthttp.Response, q *threquest.Request, maxBytes int) error {
	status := r.StatusCode()
	if q.Method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		r.SkipBody = true
		return nil
	}
	length := r.Header.ContentLength()
	switch {
	case length == -1:
		if err := r.ReadBody(br, maxBytes); err != nil {
			return err
		}
		return r.Header.ReadTrailer(br)
	case length < 0:
		return errCloseDelimited
	case length > maxBytes:
		return errTooLarge
	}
	r.SwapBody(make([]byte, 0, length))
	return r.ReadBody(br, maxBytes)
}

// takeBody takes the body out of the response, which then keeps nothing of it.
func takeBody(r *fasthttp.Response) []byte {
	if r.SkipBody {
		return nil
	}
	return r.SwapBody(nil)
}

// timeLeft bounds the time left by the context's deadline.
func timeLeft(ctx context.Context, left time.Duration) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return min(left, time.Until(d))
	}
	return left
}

// timedOut reports whether time ended the exchange, by the connection's
// deadline or by the context's.
func timedOut(ctx context.Context, n *connection, err error) bool {
	return isTimeout(err) || isTimeout(n.readErr) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
}

// failure names what went wrong. It promises that nothing ran only if no byte left.
func (c *Client) failure(ctx context.Context, n *connection, a *threquest.Attempt, q *threquest.Request, err error) error {
	switch {
	case !a.Sent && (ctx.Err() != nil || isTimeout(err)):
		return therror.Wrap(therror.QueueTimeout, err, "the request was given up before it was sent")
	case !a.Sent:
		return therror.Wrap(therror.ConnectFailed, err, "the connection took no byte")
	case errors.Is(ctx.Err(), context.Canceled):
		return therror.Wrap(therror.CallerGone, err, "the request was cancelled after it was sent")
	case timedOut(ctx, n, err):
		return therror.Wrap(therror.AnswerLate, err, "the answer did not come in time")
	case n.got == 0:
		return therror.Wrap(therror.AnswerLost, err, "the connection ended before the answer")
	}
	c.options.Log.Log(thevent.AnswerDiscarded, thevent.F("target", a.Target), thevent.F("request", q.ID), thevent.F("error", err.Error()))
	return therror.Wrap(therror.AnswerBroken, err, "the answer was discarded")
}
