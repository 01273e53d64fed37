package thingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thingress"

	"gotest.tools/v3/assert"
)

// echoForwarder answers each request with a description of it.
type echoForwarder struct{}

const echoField = "X-Echo"

// describe describes what a target would get of a request.
func describe(method, uri string, body []byte) string {
	return fmt.Sprintf("%q %q %q", method, uri, fmt.Sprintf("%x", body))
}

func (echoForwarder) Admit(thtable.Customer, thtable.Route) *thingress.Refusal { return nil }

func (echoForwarder) Forward(_ context.Context, q *thmessage.Request) (*thmessage.Answer, *thingress.Refusal) {
	echo := thmessage.HeaderField{Name: echoField, Value: describe(q.Method, q.URI, q.Body.Bytes())}
	return &thmessage.Answer{Status: http.StatusOK, Header: []thmessage.HeaderField{echo}}, nil
}

// standardRequests returns the requests that the standard library's reader finds in the
// bytes, up to the first one that it can't read, and their descriptions. If that one has a
// path that the library refuses, which does not concern its end, isPathInvalid is set.
func standardRequests(data []byte) (requests []*http.Request, descriptions []string, isPathInvalid bool) {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		skipEmptyLines(br)
		q, err := http.ReadRequest(br)
		if err != nil {
			var invalid *url.Error
			return requests, descriptions, errors.As(err, &invalid)
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return requests, descriptions, false
		}
		requests = append(requests, q)
		descriptions = append(descriptions, describe(q.Method, q.RequestURI, body))
	}
}

// skipEmptyLines discards empty lines before a request, which a server has to ignore and the
// standard library leaves to its caller.
func skipEmptyLines(br *bufio.Reader) {
	for {
		next, _ := br.Peek(2) // fewer at the end of the bytes
		switch {
		case bytes.HasPrefix(next, []byte("\n")):
			_, _ = br.Discard(1)
		case string(next) == "\r\n":
			_, _ = br.Discard(2)
		default:
			return
		}
	}
}

// lastRequest ends the connection, unless the bytes before it end within a request.
const lastRequest = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// FuzzReadRequests sends bytes in two pieces, and a last request. Each request that reaches a
// target has to be the one that the standard library's reader finds at its place, so that
// nothing is smuggled in another request. The server may refuse more, such as requests whose
// end others might see elsewhere.
func FuzzReadRequests(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b?c=%20d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /e HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nabGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET //a/../b/%41?%2f HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nabc",
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	document := thtable.Document{
		Version: 1, Routes: []thtable.Route{{Name: "r", Host: "h", Prefix: "/", Safety: thtable.Idempotent, Open: true}},
		Limits: thtable.Limits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeoutMillis: testTimeout.Milliseconds()},
	}
	routes := thtable.New(document)
	server := thingress.New(thingress.Options{Table: func() thtable.Table { return routes }, Forwarder: echoForwarder{}, Clock: thclock.System{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	go server.Serve(l)
	f.Cleanup(server.CloseIdle)
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		if len(data) > 4096 {
			return
		}
		data = append(data[:len(data):len(data)], lastRequest...)
		answers := exchangeBytes(t, l.Addr().String(), data, int(cut))
		requests, descriptions, isPathInvalid := standardRequests(data)
		checkEchoes(t, answers, requests, descriptions, isPathInvalid)
	})
}

// quietTime is how long the server may send nothing until its answers count as complete. If it
// is slower, fewer answers are checked.
const quietTime = 50 * time.Millisecond

// exchangeBytes sends the bytes, cut in two pieces, and returns what the server sends until it
// closes the connection or sends nothing for quietTime.
func exchangeBytes(t *testing.T, address string, data []byte, cut int) []byte {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		cut = min(cut, len(data))
		if _, err := c.Write(data[:cut]); err == nil {
			_, _ = c.Write(data[cut:]) // fails if the server has closed the connection
		}
	}()
	var answers []byte
	buffer := make([]byte, 4096)
	for err == nil {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(quietTime)))
		var n int
		n, err = c.Read(buffer)
		answers = append(answers, buffer[:n]...)
	}
	_ = c.Close()
	<-sent
	return answers
}

// checkEchoes checks that each answer of a target is to the request at its place, and that
// what the standard library can't read reaches no target.
func checkEchoes(t *testing.T, answers []byte, requests []*http.Request, descriptions []string, isPathInvalid bool) {
	t.Helper()
	br := bufio.NewReader(bytes.NewReader(answers))
	for i := 0; ; {
		var q *http.Request
		if i < len(requests) {
			q = requests[i]
		} else if isPathInvalid {
			return
		}
		a, err := http.ReadResponse(br, q)
		if err != nil {
			return // there are no more
		}
		_, err = io.Copy(io.Discard, a.Body)
		if closeErr := a.Body.Close(); err != nil || closeErr != nil {
			return // it is not complete
		}
		if a.StatusCode == http.StatusContinue {
			continue
		}
		if echo := a.Header.Get(echoField); echo != "" {
			assert.Assert(t, i < len(requests), "a target gets %s after %s", echo, strings.Join(descriptions, ", "))
			assert.Equal(t, echo, descriptions[i])
		}
		i++
	}
}
