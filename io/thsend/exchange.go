package thsend

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thhttp"

	"github.com/valyala/fasthttp"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
	// maxSkippedAnswers bounds the interim (1xx) answers and the answers to other
	// requests that are skipped before the request's own.
	maxSkippedAnswers = 4
	// earlyAnswerWait bounds the wait for an answer after the target has stopped
	// reading the request.
	earlyAnswerWait = time.Second
)

var (
	errProtocolSwitch     = errors.New("the target switched protocols")
	errTooManyAnswers     = errors.New("too many interim answers and answers to other requests")
	errWrongRequestID     = errors.New("the answer does not have the request's ID")
	errMissingSignature   = errors.New("the answer does not have the target's signature")
	errUnexpectedEncoding = errors.New("the answer's body has a content encoding that was not requested")
	errUnassuredRefusal   = errors.New("the answer's status promises that the request has not run, but the target does not assure it")
	errUnknownEnd         = errors.New("the answer ends with the connection, which the target has closed or reset while the request was being sent")
	errAnswerTooLarge     = errors.New("the answer's body is larger than the limit")
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// exchange writes the request, reads its answer and returns the connection to
// the pool or closes it. The second result is true if the attempt may be
// retried on a new connection, which is so only if this one was reused and no
// byte of the request was sent on it.
func (c *Client) exchange(ctx context.Context, p *pool, n *connection, t thtable.Target, request *thmessage.Request) (Result, bool) {
	now := c.options.Clock.Now()
	timeLeft := request.TimeLeft(now)
	n.requestID = request.ID
	if err := n.startExchange(time.Now().Add(timeLeft)); err != nil {
		p.discard(n)
		return Result{End: thpick.NotSent, Outcome: thhealth.Inconclusive, Err: err}, n.completed > 0
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() }) // makes blocked reads and writes return
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	keep, err := c.roundTrip(n, t, request, timeLeft, r)
	n.endExchange()
	if !stop() {
		keep = false
	}
	if err != nil {
		p.discard(n)
		if n.bytesSent == 0 && n.completed > 0 && ctx.Err() == nil {
			return Result{}, true
		}
		return c.classifyError(ctx, p, n, err), false
	}
	result := c.classifyAnswer(n, r, request)
	if c.isOwnAnswer(r, request) {
		result.TargetLeaves = c.saysLeaving(r)
		result.PausedUntil, result.PauseErr = c.readPause(r)
		result.ColdUntil = c.readCold(r)
		result.Load = c.readLoad(r)
	}
	if !keep {
		p.discard(n)
		return result, false
	}
	n.completed++
	n.expiresAt = c.options.Clock.Now().Add(keepAliveTimeout(r))
	p.putIdle(n)
	return result, false
}

// keepAliveTimeout returns how long the target keeps the connection open while
// it is idle: the timeout of its Keep-Alive header field, or defaultKeepAlive.
func keepAliveTimeout(r *fasthttp.Response) time.Duration {
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
	return defaultKeepAlive
}

// roundTrip writes the request and reads its answer into r. It reports whether
// the connection may be reused.
func (c *Client) roundTrip(n *connection, t thtable.Target, request *thmessage.Request, timeLeft time.Duration, r *fasthttp.Response) (bool, error) {
	early, err := c.writeRequest(n, t, request, timeLeft)
	if err != nil {
		return false, err
	}
	br, _ := readers.Get().(*bufio.Reader)
	br.Reset(n)
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	skipped, err := c.readAnswer(n, br, r, request)
	if err != nil {
		return false, err
	}
	clean := !early && skipped == 0 && br.Buffered() == 0
	return clean && !r.Header.ConnectionClose(), nil
}

// These are the content lengths that fasthttp reports for a chunked answer and
// for one whose end is the end of the connection.
const (
	chunked        = -1
	closeDelimited = -2
)

// writeRequest writes the request. The result early is true if the target stopped
// reading the request after at least one byte was sent: it may have answered
// already, so the caller should read the answer.
func (c *Client) writeRequest(n *connection, t thtable.Target, request *thmessage.Request, timeLeft time.Duration) (early bool, err error) {
	bw, _ := writers.Get().(*bufio.Writer)
	bw.Reset(n)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	c.fillRequest(r, t, request, timeLeft)
	err = r.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		return false, nil
	}
	if n.bytesSent == 0 || isTimeout(err) {
		return false, err
	}
	return true, n.SetReadDeadline(time.Now().Add(min(timeLeft, earlyAnswerWait)))
}

// fillRequest sets r to the HTTP request for the target. The body is not copied:
// r refers to that of request until it is released.
func (c *Client) fillRequest(r *fasthttp.Request, t thtable.Target, request *thmessage.Request, timeLeft time.Duration) {
	h, names := &r.Header, c.options.HeaderNames
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(request.Method)
	h.SetRequestURI(request.URI)
	h.SetHost(request.Host)
	for _, f := range request.Header {
		h.Add(f.Name, f.Value)
	}
	setHeader(h, names.RequestID, request.ID)
	setHeader(h, names.Deadline, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	setHeader(h, names.Target, t.ID)
	if request.Customer.Name != "" {
		setHeader(h, names.Customer, request.Customer.Name)
	}
	length := request.Body.Len()
	if length > 0 {
		r.SetBodyStream(request.Body.Reader(), length)
	}
	if length == 0 && request.Method != fasthttp.MethodGet && request.Method != fasthttp.MethodHead {
		h.SetContentLength(0)
	}
}

// setHeader sets the header field unless its name is empty, which means that it
// is not in use.
func setHeader(h *fasthttp.RequestHeader, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// readAnswer reads the whole answer to the request into r. It skips interim
// (1xx) answers and answers to other requests, and returns how many of the
// latter it skipped.
func (c *Client) readAnswer(n *connection, br *bufio.Reader, r *fasthttp.Response, request *thmessage.Request) (skipped int, err error) {
	for answers := 0; answers <= maxSkippedAnswers; answers++ {
		r.Reset()
		r.Header.SetNoDefaultContentType(true)
		if err := thhttp.CheckHead(br); err != nil {
			return skipped, err
		}
		if err := r.Header.Read(br); err != nil {
			return skipped, err
		}
		status := r.StatusCode()
		switch {
		case status == fasthttp.StatusSwitchingProtocols:
			return skipped, errProtocolSwitch
		case status < 200:
			continue
		}
		if err := c.readBody(n, br, r, request); err != nil {
			return skipped, err
		}
		id := r.Header.Peek(c.options.HeaderNames.RequestID)
		if len(id) == 0 || string(id) == request.ID {
			return skipped, nil
		}
		skipped++
	}
	return skipped, errTooManyAnswers
}

// readBody reads the answer's body, if it has one, and the trailer of a chunked
// body. It returns errAnswerTooLarge if the announced length is over the limit.
func (c *Client) readBody(n *connection, br *bufio.Reader, r *fasthttp.Response, request *thmessage.Request) error {
	status := r.StatusCode()
	if request.Method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		r.SkipBody = true
		return nil
	}
	length := r.Header.ContentLength()
	if length > c.options.MaxAnswerBytes {
		return errAnswerTooLarge
	}
	if !n.hold(length) { // fasthttp allocates the announced length at once
		return errUnfinishedBudget
	}
	if length == closeDelimited {
		if n.broken {
			return errUnknownEnd
		}
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

// classifyAnswer returns the result of an attempt that got a whole answer.
func (c *Client) classifyAnswer(n *connection, r *fasthttp.Response, request *thmessage.Request) Result {
	names, status := c.options.HeaderNames, r.StatusCode()
	isNotRun := status == fasthttp.StatusMisdirectedRequest || len(r.Header.Peek(names.NotRun)) > 0
	if isNotRun && n.completed > 0 && len(r.Header.Peek(names.RequestID)) == 0 {
		// It may be a late answer to an earlier request, while this one runs.
		return Result{End: thpick.Lost, Outcome: thhealth.Failed, Err: errWrongRequestID}
	}
	if status == fasthttp.StatusMisdirectedRequest {
		return Result{End: thpick.NotRun, Outcome: thhealth.ConnectionRefused, Err: errors.New("the address now belongs to another target")}
	}
	if isNotRun {
		return Result{End: thpick.NotRun, Outcome: thhealth.Rejected, Err: errors.New("the target rejected the request with status " + strconv.Itoa(status))}
	}
	if err := c.verifyAnswer(r, request); err != nil {
		return Result{End: thpick.Lost, Outcome: thhealth.Failed, Err: err}
	}
	if promisesNotRun(status) {
		return Result{End: thpick.Lost, Outcome: thhealth.Failed, Err: errUnassuredRefusal}
	}
	answer := c.convertAnswer(r)
	if status >= fasthttp.StatusInternalServerError {
		o := thhealth.Failed
		if status == fasthttp.StatusGatewayTimeout {
			o = thhealth.Inconclusive
		}
		return Result{End: thpick.Failure, Outcome: o, Answer: answer}
	}
	return Result{End: thpick.Answered, Outcome: thhealth.Answered, Answer: answer}
}

// isOwnAnswer reports whether the answer tells something of the target itself: it has the
// request's ID and is not that of another target at the same address.
func (c *Client) isOwnAnswer(r *fasthttp.Response, request *thmessage.Request) bool {
	name := c.options.HeaderNames.RequestID
	return r.StatusCode() != fasthttp.StatusMisdirectedRequest && (name == "" || string(r.Header.Peek(name)) == request.ID)
}

// saysLeaving reports whether the answer says that the target leaves.
func (c *Client) saysLeaving(r *fasthttp.Response) bool {
	return slices.ContainsFunc(c.options.HeaderNames.Leaving, func(name string) bool { return string(r.Header.Peek(name)) == "1" })
}

// promisesNotRun reports whether callers take the status for a promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// verifyAnswer returns an error unless the answer comes from the target, is to
// this request and has no content encoding.
func (c *Client) verifyAnswer(r *fasthttp.Response, request *thmessage.Request) error {
	names := c.options.HeaderNames
	if names.RequestID != "" && string(r.Header.Peek(names.RequestID)) != request.ID {
		return errWrongRequestID
	}
	if names.Signature != "" && len(r.Header.Peek(names.Signature)) == 0 {
		return errMissingSignature
	}
	encoding := r.Header.ContentEncoding()
	if len(encoding) > 0 && !strings.EqualFold(string(encoding), "identity") {
		return errUnexpectedEncoding
	}
	return nil
}

// convertAnswer moves the body and the header fields to pass on out of r.
func (c *Client) convertAnswer(r *fasthttp.Response) *thmessage.Answer {
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

// classifyError returns the result of an attempt that got no whole answer. It
// returns NotSent, which means that the request did not run, only if no byte was
// sent. If a reused connection failed without any byte received, it closes the
// target's idle connections: what broke this one may have broken them too.
func (c *Client) classifyError(ctx context.Context, p *pool, n *connection, err error) Result {
	timeout := isTimeout(err) || errors.Is(err, fasthttp.ErrTimeout)
	if n.bytesReceived == 0 && n.completed > 0 && ctx.Err() == nil {
		p.closeIdle()
	}
	switch {
	case n.bytesSent == 0:
		o := thhealth.TimedOut
		if ctx.Err() != nil {
			o = thhealth.Inconclusive
		}
		return Result{End: thpick.NotSent, Outcome: o, Err: err}
	case ctx.Err() != nil:
		return Result{End: thpick.Lost, Outcome: thhealth.Inconclusive, Err: ctx.Err()}
	case timeout:
		return Result{End: thpick.TimedOut, Outcome: thhealth.TimedOut, Err: err}
	case n.bytesReceived == 0:
		return Result{End: thpick.Lost, Outcome: thhealth.ConnectionClosed, Err: err}
	}
	return Result{End: thpick.Lost, Outcome: thhealth.Failed, Err: err}
}
