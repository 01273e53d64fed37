//go:build review

package kit2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, URI, Key, Body string
	DeadlineMs                 int
}

// NewID returns the ID of a client's attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Bytes returns the request as it is sent.
func (q Request) Bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Tamarackhollow-Request-Id: %s\r\nX-Tamarackhollow-Deadline-Ms: %d\r\n", q.Method, q.URI, Host, q.ID, q.DeadlineMs)
	if q.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.Key)
	}
	if q.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	return []byte(b.String() + "\r\n" + q.Body)
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if no whole answer came.
	Err error
}

// IsStamped reports whether the answer comes from an upstream.
func (a Answer) IsStamped() bool { return a.Header.Get("X-Tamarackhollow-Response-Stamp") != "" }

func (a Answer) String() string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.IsStamped():
		return fmt.Sprintf("%d from the upstream", a.Status)
	}
	return fmt.Sprintf("%d of the fleet's own, %s", a.Status, a.Body)
}

// Send sends the request on a new connection to the address, and reads the answer.
func Send(address string, q Request) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err, Header: http.Header{}}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(q.DeadlineMs)*time.Millisecond + time.Second))
	if _, err := c.Write(q.Bytes()); err != nil {
		return Answer{Err: err, Header: http.Header{}}
	}
	return ReadAnswer(bufio.NewReader(c), q.Method)
}

// ReadAnswer reads one answer.
func ReadAnswer(br *bufio.Reader, method string) Answer {
	r, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Header: http.Header{}}
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(body), Err: err}
}
