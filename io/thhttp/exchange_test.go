package thhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"tamarackhollow/io/thhttp"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of these tests; only a failing test reaches it.
const testTimeout = 10 * time.Second

// call makes one call to a server that answers it by a script, and returns the answer's body. The
// script gets the connection once the head of the request has been read.
func call(ctx context.Context, t *testing.T, b thhttp.AnswerBounds, script func(nc net.Conn)) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(nc)) == nil {
			script(nc)
		}
	}()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	var q fasthttp.Request
	var a fasthttp.Response
	q.SetRequestURI("http://" + l.Addr().String() + "/")
	err = thhttp.Exchange(ctx, nc, &q, &a, b)
	_, closed := nc.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(closed, net.ErrClosed), "the connection is still open")
	return string(a.Body()), err
}

func writeText(nc net.Conn, text string) { _, _ = io.WriteString(nc, text) } // the test fails if it is not read

func answerText(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestExchangeReadsWholeAnswer(t *testing.T) {
	for _, c := range []struct{ name, text, body string }{
		{"with a length", answerText("hello"), "hello"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + answerText("hello"), "hello"},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := call(t.Context(), t, thhttp.AnswerBounds{MaxBodyBytes: 10}, func(nc net.Conn) { writeText(nc, c.text) })
			assert.NilError(t, err)
			assert.Equal(t, body, c.body)
		})
	}
}

// A status of 000 was taken for 200.
func TestExchangeFailsIfHeadIsMalformed(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Field: v\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n"} {
		_, err := call(t.Context(), t, thhttp.AnswerBounds{MaxBodyBytes: 10}, func(nc net.Conn) { writeText(nc, head+"Content-Length: 5\r\n\r\nhello") })
		assert.ErrorContains(t, err, "malformed", "%q", head)
	}
}

func TestExchangeFailsIfBodyIsTooLong(t *testing.T) {
	_, err := call(t.Context(), t, thhttp.AnswerBounds{MaxBodyBytes: 4}, func(nc net.Conn) { writeText(nc, answerText("hello")) })
	assert.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
}

// A call on a connection that went silent waited for its deadline.
func TestExchangeFailsWhenNothingArrivesForTooLong(t *testing.T) {
	for _, sent := range []string{"", "HTTP/1.1 2", answerText("hello")[:42]} {
		startedAt := time.Now()
		_, err := call(t.Context(), t, thhttp.AnswerBounds{MaxBodyBytes: 10, MaxSilence: 200 * time.Millisecond}, func(nc net.Conn) {
			writeText(nc, sent)
			time.Sleep(testTimeout)
		})
		assert.Assert(t, err != nil, "%q", sent)
		assert.Assert(t, time.Since(startedAt) < testTimeout/2, "%q", sent)
	}
}

// A slow transfer must not be given up while it makes progress.
func TestExchangeGoesOnWhileBytesArrive(t *testing.T) {
	body, err := call(t.Context(), t, thhttp.AnswerBounds{MaxBodyBytes: 10, MaxSilence: 300 * time.Millisecond}, func(nc net.Conn) {
		for _, b := range []byte(answerText("hello")) {
			writeText(nc, string(b))
			time.Sleep(20 * time.Millisecond)
		}
	})
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
}

func TestExchangeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	startedAt := time.Now()
	_, err := call(ctx, t, thhttp.AnswerBounds{MaxBodyBytes: 10}, func(net.Conn) {
		cancel()
		time.Sleep(testTimeout)
	})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, time.Since(startedAt) < testTimeout/2)
}
