package thwire

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	defaultCallTimeout = 2 * time.Second
	dialTimeout        = time.Second
	// clientIdleTimeout is shorter than the server's idleTimeout, so that the client
	// is the side that closes a connection out of use.
	clientIdleTimeout = 20 * time.Second
	maxConnsPerHost   = 64
)

// ClientOptions is what a client's calls say of their sender.
type ClientOptions struct {
	// Credential is what the other side checks.
	Credential string
	// From and Incarnation say who calls.
	From        string
	Incarnation uint64
	// LocalIP is the address that connections leave from; empty leaves it open.
	LocalIP string
}

// Client makes calls. Make one with NewClient.
type Client struct {
	options  ClientOptions
	http     fasthttp.Client
	counters callCounters
}

// NewClient returns a client that never repeats a call by itself.
func NewClient(id ClientOptions) *Client {
	d := &fasthttp.TCPDialer{}
	if id.LocalIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(id.LocalIP)}
	}
	return &Client{options: id, http: fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return d.DialTimeout(address, dialTimeout) },
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       clientIdleTimeout,
		MaxResponseBodySize:       DefaultMaxBodyBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}
}

// Call makes one call and returns its answer. It fails with ConnectFailed if
// nothing was sent, with AnswerLost if the other side may have acted, and else
// with the kind that the other side named.
func Call[Q, A any](ctx context.Context, c *Client, address, path string, q Q) (A, error) {
	var a A
	data, err := json.Marshal(q)
	if err != nil {
		return a, therror.Wrap(therror.MessageMalformed, err, "call to %s", path)
	}
	body, err := c.post(ctx, address, path, data)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, therror.Wrap(therror.MessageMalformed, err, "answer of %s", path)
	}
	return a, nil
}

func (c *Client) post(ctx context.Context, address, path string, data []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, therror.Wrap(therror.ConnectFailed, err, "call to %s", path)
	}
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + address + path)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.Header.SetContentType("application/json")
	q.Header.Set(headerCredential, c.options.Credential)
	q.Header.Set(headerFrom, c.options.From)
	q.Header.Set(headerIncarnation, strconv.FormatUint(c.options.Incarnation, 10))
	q.SetBodyRaw(data)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := c.http.DoDeadline(q, r, deadline); err != nil {
		c.counters.record(len(data), 0, 0, true)
		// After a timeout fasthttp may still hold the response, so it is left
		// to the garbage collector.
		return nil, transportError(err, path)
	}
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	c.counters.record(len(data), len(r.Body()), len(q.Header.Header())+len(r.Header.Header()), r.StatusCode() != fasthttp.StatusOK)
	if r.StatusCode() != fasthttp.StatusOK {
		return nil, decodeError(r, path)
	}
	return append([]byte(nil), r.Body()...), nil
}

func transportError(err error, path string) error {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.As(err, &op) && op.Op == "dial" {
		return therror.Wrap(therror.ConnectFailed, err, "call to %s", path)
	}
	return therror.Wrap(therror.AnswerLost, err, "call to %s", path)
}

func decodeError(r *fasthttp.Response, path string) error {
	var b errorBody
	if err := json.Unmarshal(r.Body(), &b); err != nil {
		return therror.New(therror.AnswerBroken, "call to %s: status %d", path, r.StatusCode())
	}
	k, ok := therror.KindNamed(b.Error.Kind)
	if !ok {
		return therror.New(therror.AnswerBroken, "call to %s: unknown kind %q", path, b.Error.Kind)
	}
	return &therror.Error{Kind: k, Detail: b.Error.Detail}
}
