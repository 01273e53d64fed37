package thwire

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/io/thhttp"

	"github.com/valyala/fasthttp"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// ClientOptions holds what a client sends with each call to authenticate and
// identify itself, and the address that it calls from.
type ClientOptions struct {
	// Credential is the shared secret that the server compares with its own.
	Credential string
	// From and Incarnation identify the caller; the server gets them as Sender's
	// ID and Incarnation.
	From        string
	Incarnation uint64
	// LocalIP is the source address of connections; if empty, the operating
	// system picks one.
	LocalIP string
}

// Client makes calls, each over a connection of its own. Create it with NewClient; it is
// safe for concurrent use.
type Client struct {
	options  ClientOptions
	dialer   net.Dialer
	counters callCounters
}

// NewClient returns a client that sends each call at most once: it never
// retries one that failed.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, dialer: net.Dialer{KeepAlive: -1}} // calls end before a probe would be sent
	if options.LocalIP != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(options.LocalIP)}
	}
	return c
}

// Call sends one request to a path of a server and returns the decoded answer.
// It waits until the context ends, for two seconds if that has no deadline.
//
// The error's kind is ConnectFailed if nothing was sent, AnswerLost if the
// server may have acted on the request, MessageMalformed if the request
// can't be encoded or the answer is not valid JSON for its type, and AnswerBroken if the server's error
// could not be read. Otherwise it is the kind that the server named.
func Call[Request, Answer any](ctx context.Context, c *Client, address, path string, request Request) (Answer, error) {
	answer, _, err := CallSized[Request, Answer](ctx, c, address, path, request, 0)
	return answer, err
}

// CallSized is like Call, and also returns the length of the answer's body in
// bytes as it arrived, which may be compressed; 0 if none did. It fails with AnswerLost if nothing
// arrives for maxSilence while the answer is not complete, unless that is 0.
func CallSized[Request, Answer any](ctx context.Context, c *Client, address, path string, request Request, maxSilence time.Duration) (answer Answer, size int, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return answer, 0, therror.Wrap(therror.MessageMalformed, err, "call to %s", path)
	}
	body, size, err := c.post(ctx, address, path, data, maxSilence)
	if err != nil {
		return answer, size, err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, size, therror.Wrap(therror.MessageMalformed, err, "answer of %s", path)
	}
	return answer, size, nil
}

// post sends one request body to a path. It returns the decompressed body of the
// answer and the length of the body as it arrived.
func (c *Client) post(ctx context.Context, address, path string, data []byte, maxSilence time.Duration) (answer []byte, size int, err error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	nc, err := dialRepeatedly(ctx, c.dialer, address)
	if err != nil {
		c.counters.record(len(data), 0, 0, true)
		return nil, 0, therror.Wrap(therror.ConnectFailed, err, "call to %s", path)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.fillRequest(request, address, path, data)
	if err := thhttp.Exchange(ctx, nc, request, response, thhttp.AnswerBounds{MaxBodyBytes: DefaultMaxBodyBytes, MaxSilence: maxSilence}); err != nil {
		c.counters.record(len(data), 0, 0, true)
		return nil, 0, therror.Wrap(therror.AnswerLost, err, "call to %s", path)
	}
	c.counters.record(len(data), len(response.Body()), len(request.Header.Header())+len(response.Header.Header()), response.StatusCode() != fasthttp.StatusOK)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, len(response.Body()), decodeError(response, path)
	}
	body, err := response.BodyUncompressedWithLimit(DefaultMaxBodyBytes)
	if err != nil {
		return nil, len(response.Body()), therror.Wrap(therror.AnswerBroken, err, "answer of %s", path)
	}
	return append([]byte(nil), body...), len(response.Body()), nil
}

// fillRequest sets request to the call with the given body, which is not copied.
func (c *Client) fillRequest(request *fasthttp.Request, address, path string, data []byte) {
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	request.Header.Set(headerCredential, c.options.Credential)
	request.Header.Set(headerFrom, c.options.From)
	request.Header.Set(headerIncarnation, strconv.FormatUint(c.options.Incarnation, 10))
	request.SetBodyRaw(data)
}

// decodeError returns the error that a server answered with.
func decodeError(response *fasthttp.Response, path string) error {
	var body errorBody
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return therror.New(therror.AnswerBroken, "call to %s: status %d", path, response.StatusCode())
	}
	kind, ok := therror.KindByName(body.Error.Kind)
	if !ok {
		return therror.New(therror.AnswerBroken, "call to %s: unknown kind %q", path, body.Error.Kind)
	}
	return &therror.Error{Kind: kind, Detail: body.Error.Detail}
}
