package thsend

import (
	"bufio"
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"github.com/valyala/fasthttp"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
	// maxSkipped is how many interim answers, or answers to earlier requests,
	// may come before the request's own.
	maxSkipped = 4
	// earlyAnswerWait is how long to look for an answer after the target has
	// stopped taking the request.
	earlyAnswerWait = time.Second
)

var (
	errSwitched = errors.New("the target switched protocols")
	errSkipped  = errors.New("too many answers came that are not the request's")
	errNotOurs  = errors.New("the answer does not carry the request's ID")
	errUnsigned = errors.New("the answer carries no signature of the target")
	errEncoded  = errors.New("the answer's body has an encoding that was not asked for")
	errTooLarge = errors.New("the answer is larger than the limit")
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// exchange writes the request and reads its answer. It reports whether the
// attempt may go on with a new connection, which is so only if this one was
// reused and took no byte.
func (c *Client) exchange(ctx context.Context, p *pool, n *connection, t thtable.Target, q *thmessage.Request) (Result, bool) {
	now := c.options.Clock.Now()
	left := q.TimeLeft(now)
	if err := n.begin(time.Now().Add(left)); err != nil {
		p.discard(n)
		return Result{End: thpick.NotSent, Outcome: thjudge.Unknown, Err: err}, n.served > 0
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() }) // the reads and writes under way return the error
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	keep, err := c.talk(n, t, q, left, r)
	if !stop() {
		keep = false
	}
	if err != nil {
		p.discard(n)
		if n.written == 0 && n.served > 0 && ctx.Err() == nil {
			return Result{}, true
		}
		return c.failure(ctx, p, n, err), false
	}
	result := c.classify(r, q)
	if !keep {
		p.discard(n)
		return result, false
	}
	n.served++
	n.idleUntil = c.options.Clock.Now().Add(keepAlive(r))
	p.put(n)
	return result, false
}

// keepAlive returns how long the target keeps the connection when it is idle.
func keepAlive(r *fasthttp.Response) time.Duration {
	value := string(r.Header.Peek(fasthttp.HeaderKeepAlive))
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}

// talk makes the exchange, and reports whether the connection is clean after it.
func (c *Client) talk(n *connection, t thtable.Target, q *thmessage.Request, left time.Duration, r *fasthttp.Response) (bool, error) {
	early, err := c.write(n, t, q, left)
	if err != nil {
		return false, err
	}
	br, _ := readers.Get().(*bufio.Reader)
	br.Reset(n)
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	skipped, err := c.read(br, r, q)
	if err != nil {
		return false, err
	}
	clean := !early && skipped == 0 && br.Buffered() == 0
	return clean && !r.Header.ConnectionClose(), nil
}

// The content lengths by which fasthttp marks a chunked answer, and one that
// ends with its connection.
const (
	chunked        = -1
	closeDelimited = -2
)

// write sends the request. It reports early if the target stopped taking it
// but may have answered already.
func (c *Client) write(n *connection, t thtable.Target, q *thmessage.Request, left time.Duration) (early bool, err error) {
	bw, _ := writers.Get().(*bufio.Writer)
	bw.Reset(n)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	c.fill(r, t, q, left)
	err = r.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		return false, nil
	}
	if n.written == 0 || isTimeout(err) {
		return false, err
	}
	return true, n.SetReadDeadline(time.Now().Add(min(left, earlyAnswerWait)))
}

// fill makes the HTTP request. It holds the body only until released.
func (c *Client) fill(r *fasthttp.Request, t thtable.Target, q *thmessage.Request, left time.Duration) {
	h, names := &r.Header, c.options.Names
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(q.Method)
	h.SetRequestURI(q.URI)
	h.SetHost(q.Host)
	for _, f := range q.Header {
		h.Add(f.Name, f.Value)
	}
	set(h, names.RequestID, q.ID)
	set(h, names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	set(h, names.Target, t.ID)
	if q.Customer.Name != "" {
		set(h, names.Customer, q.Customer.Name)
	}
	r.SetBodyRaw(q.Body)
	if len(q.Body) == 0 && q.Method != fasthttp.MethodGet && q.Method != fasthttp.MethodHead {
		h.SetContentLength(0)
	}
}

func set(h *fasthttp.RequestHeader, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// read reads the request's own answer whole, and returns how many others came
// before it.
func (c *Client) read(br *bufio.Reader, r *fasthttp.Response, q *thmessage.Request) (skipped int, err error) {
	for others := 0; others <= maxSkipped; others++ {
		r.Reset()
		r.Header.SetNoDefaultContentType(true)
		if err := r.Header.Read(br); err != nil {
			return skipped, err
		}
		status := r.StatusCode()
		switch {
		case status == fasthttp.StatusSwitchingProtocols || status < 100:
			return skipped, errSwitched
		case status < 200:
			continue
		}
		if err := c.readBody(br, r, q); err != nil {
			return skipped, err
		}
		id := r.Header.Peek(c.options.Names.RequestID)
		if len(id) == 0 || string(id) == q.ID {
			return skipped, nil
		}
		skipped++
	}
	return skipped, errSkipped
}

func (c *Client) readBody(br *bufio.Reader, r *fasthttp.Response, q *thmessage.Request) error {
	status := r.StatusCode()
	if q.Method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		r.SkipBody = true
		return nil
	}
	length := r.Header.ContentLength()
	if length > c.options.MaxAnswerBytes {
		return errTooLarge
	}
	if length == closeDelimited {
		r.Header.SetConnectionClose()
	}
	if err := r.ReadBody(br, c.options.MaxAnswerBytes); err != nil {
		return err
	}
	if length == chunked {
		return r.Header.ReadTrailer(br)
	}
	return nil
}

// classify tells what a whole answer means.
func (c *Client) classify(r *fasthttp.Response, q *thmessage.Request) Result {
	names, status := c.options.Names, r.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest {
		return Result{End: thpick.NotRun, Outcome: thjudge.Refused, Err: errors.New("another target has the address")}
	}
	if len(r.Header.Peek(names.NotRun)) > 0 {
		return Result{End: thpick.NotRun, Outcome: thjudge.Rejected, Err: errors.New("rejected with status " + strconv.Itoa(status))}
	}
	if err := c.verify(r, q); err != nil {
		return Result{End: thpick.Lost, Outcome: thjudge.Failed, Err: err}
	}
	answer := c.answer(r)
	if status >= fasthttp.StatusInternalServerError {
		o := thjudge.Failed
		if status == fasthttp.StatusGatewayTimeout {
			o = thjudge.Unknown
		}
		return Result{End: thpick.Failure, Outcome: o, Answer: answer}
	}
	return Result{End: thpick.Answered, Outcome: thjudge.Answered, Answer: answer}
}

// verify makes sure that the answer is the target's to this request.
func (c *Client) verify(r *fasthttp.Response, q *thmessage.Request) error {
	names := c.options.Names
	if names.RequestID != "" && string(r.Header.Peek(names.RequestID)) != q.ID {
		return errNotOurs
	}
	if names.Signature != "" && len(r.Header.Peek(names.Signature)) == 0 {
		return errUnsigned
	}
	encoding := r.Header.ContentEncoding()
	if len(encoding) > 0 && !strings.EqualFold(string(encoding), "identity") {
		return errEncoded
	}
	return nil
}

func (c *Client) answer(r *fasthttp.Response) *thmessage.Answer {
	a := &thmessage.Answer{Status: r.StatusCode()}
	connection := string(r.Header.Peek(fasthttp.HeaderConnection))
	for k, v := range r.Header.All() {
		name := string(k)
		if !thmessage.IsHopByHop(name) && !thmessage.IsListedInConnection(connection, name) {
			a.Header = append(a.Header, thmessage.HeaderField{Name: name, Value: string(v)})
		}
	}
	if !r.SkipBody {
		a.Body = r.SwapBody(nil)
	}
	return a
}

// failure names what went wrong. Only if no byte left does it promise that
// nothing ran.
func (c *Client) failure(ctx context.Context, p *pool, n *connection, err error) Result {
	timeout := isTimeout(err) || errors.Is(err, fasthttp.ErrTimeout)
	if n.got == 0 && n.served > 0 && ctx.Err() == nil {
		p.clear()
	}
	switch {
	case n.written == 0:
		o := thjudge.Silent
		if ctx.Err() != nil {
			o = thjudge.Unknown
		}
		return Result{End: thpick.NotSent, Outcome: o, Err: err}
	case ctx.Err() != nil:
		return Result{End: thpick.Lost, Outcome: thjudge.Unknown, Err: ctx.Err()}
	case timeout:
		return Result{End: thpick.Late, Outcome: thjudge.Silent, Err: err}
	case n.got == 0:
		return Result{End: thpick.Lost, Outcome: thjudge.Cut, Err: err}
	}
	return Result{End: thpick.Lost, Outcome: thjudge.Failed, Err: err}
}
