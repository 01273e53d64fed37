package thsend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsend"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// scriptedTarget is a fake target that calls a script for each request it
// receives.
type scriptedTarget struct {
	address string
	mu      sync.Mutex
	// requests and connections count those received and accepted.
	requests    int
	connections int
	// headers holds the requests' header blocks.
	headers []string
}

// script answers the request with the given number, from 1, and ID by writing to
// c. It returns false to close the connection.
type script func(s *scriptedTarget, c net.Conn, br *bufio.Reader, number int, id string) bool

func newScriptedTarget(t *testing.T, run script) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			go s.serve(c, run)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, run script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		var h fasthttp.RequestHeader
		if h.Read(br) != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		number := s.requests
		s.headers = append(s.headers, h.String())
		s.mu.Unlock()
		if !run(s, c, br, number, string(h.Peek("X-Id"))) {
			return
		}
	}
}

func (s *scriptedTarget) counts() (requests, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.connections
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// answerText returns an answer with the header fields that verify it.
func answerText(id, body string, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(append(fields, ""), "\r\n"), len(body), body)
}

func newClient() *thsend.Client {
	return thsend.New(thsend.Options{Clock: thclock.System{}, HeaderNames: thmessage.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Left", Target: "X-Target", Customer: "X-Customer", Signature: "X-Stamp", NotRun: "X-Not-Run", Leaving: []string{"X-Leaving", "Leaving"}, Cold: "X-Cold", ServerLoad: "X-Load",
	}})
}

func newRequest(id string, safety thtable.Safety, timeout time.Duration) *thmessage.Request {
	now := thclock.System{}.Now()
	return &thmessage.Request{
		ID: id, Method: "GET", Host: "h.example", URI: "/x/?a=%20b", Route: thtable.Route{Safety: safety},
		Customer: thtable.Customer{Name: "c"}, Deadline: now.Add(timeout),
	}
}

// testTimeout is the deadline of requests that are to be answered; it is reached
// only if a test fails.
const testTimeout = 5 * time.Second

// sendAll sends the requests one after the other, with one client, to a new
// scripted target.
func sendAll(t *testing.T, run script, qs ...*thmessage.Request) ([]thsend.Result, *scriptedTarget) {
	t.Helper()
	s := newScriptedTarget(t, run)
	c := newClient()
	var rs []thsend.Result
	for _, q := range qs {
		rs = append(rs, c.Send(context.Background(), thtable.Target{ID: "t1", Address: s.address}, q, thsend.ConnectionOptions{}))
	}
	return rs, s
}

// TestSendClassifiesAnswers guards against retries of requests that may have run
// and against wrong evidence about targets.
func TestSendClassifiesAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		run     script
		end     thpick.AttemptEnd
		outcome thhealth.Outcome
		body    string
	}{
		{"whole answer", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answerText(id, "hello"))
		}, thpick.Answered, thhealth.Answered, "hello"},
		{"answer delimited by the end of the connection", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n\r\nto the end") && false
		}, thpick.Answered, thhealth.Answered, "to the end"},
		{"connection reset during the answer", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n\r\nnot to the")
			time.Sleep(20 * time.Millisecond) // the reset would discard bytes that were not sent yet
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, thpick.Lost, thhealth.Failed, ""},
		{"connection closed before the end of the body", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, strings.TrimSuffix(answerText(id, "hello"), "lo")) && false
		}, thpick.Lost, thhealth.Failed, ""},
		{"chunked answer", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
		}, thpick.Answered, thhealth.Answered, "hello"},
		{"answer to another request first", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answerText("other", "wrong")+answerText(id, "right"))
		}, thpick.Answered, thhealth.Answered, "right"},
		{"answer without the target's signature", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n\r\nhi")
		}, thpick.Lost, thhealth.Failed, ""},
		{"answer with a content encoding", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answerText(id, "zzzz", "Content-Encoding: gzip"))
		}, thpick.Lost, thhealth.Failed, ""},
		{"bytes that are not HTTP", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, _ string) bool {
			return write(c, "\x00\x01garbage\r\n\r\n") && false
		}, thpick.Lost, thhealth.Failed, ""},
		{"server error", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, strings.Replace(answerText(id, "no"), "200 OK", "500 Oh", 1))
		}, thpick.Failure, thhealth.Failed, "no"},
		{"rejection without running the request", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}, thpick.NotRun, thhealth.Rejected, ""},
		{"address of another target", func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		}, thpick.NotRun, thhealth.ConnectionRefused, ""},
		{"connection closed without an answer", func(*scriptedTarget, net.Conn, *bufio.Reader, int, string) bool { return false }, thpick.Lost, thhealth.ConnectionClosed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, _ := sendAll(t, c.run, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			r := rs[0]
			assert.Equal(t, r.End, c.end, "%v", r.Err)
			assert.Equal(t, r.Outcome, c.outcome)
			if c.body != "" {
				assert.Equal(t, string(r.Answer.Body), c.body)
			}
		})
	}
}

// TestLeavingIsTakenFromOwnAnswersOnly guards against a target's word that it leaves that is
// not heard, whatever the answer, and against that of another target or to another request.
func TestLeavingIsTakenFromOwnAnswersOnly(t *testing.T) {
	for _, c := range []struct {
		name, status, fields, id string
		leaves                   bool
	}{
		{"answer", "200 OK", "X-Leaving: 1\r\n", "id-1", true},
		{"the other name", "200 OK", "Leaving: 1\r\n", "id-1", true},
		{"failure", "500 Oh", "X-Leaving: 1\r\n", "id-1", true},
		{"rejection", "503 Full", "X-Not-Run: 1\r\nX-Leaving: 1\r\n", "id-1", true},
		{"without the field", "200 OK", "", "id-1", false},
		{"another value", "200 OK", "X-Leaving: 0\r\n", "id-1", false},
		{"another target at the address", "421 Misdirected", "X-Leaving: 1\r\n", "id-1", false},
		{"answer without an ID", "200 OK", "X-Leaving: 1\r\n", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				return write(n, "HTTP/1.1 "+c.status+"\r\nX-Id: "+c.id+"\r\nX-Stamp: s\r\n"+c.fields+"Content-Length: 0\r\n\r\n")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].TargetLeaves, c.leaves)
		})
	}
	rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(n, answerText("other", "late", "X-Leaving: 1")+answerText(id, "own"))
	}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
	assert.Equal(t, string(rs[0].Answer.Body), "own")
	assert.Assert(t, !rs[0].TargetLeaves)
}

// TestTargetReceivesRequestHeader guards against a changed URI or host and
// against missing header fields that this system adds.
func TestTargetReceivesRequestHeader(t *testing.T) {
	_, s := sendAll(t, func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answerText(id, "x"))
	}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
	h := s.headers[0]
	for _, want := range []string{"GET /x/?a=%20b HTTP/1.1", "Host: h.example", "X-Id: id-1", "X-Target: t1", "X-Customer: c", "X-Left: "} {
		assert.Assert(t, strings.Contains(h, want), "%q in %q", want, h)
	}
}

// TestAttemptEndsAtDeadline guards against waiting for a silent target beyond the
// request's deadline.
func TestAttemptEndsAtDeadline(t *testing.T) {
	rs, _ := sendAll(t, func(_ *scriptedTarget, c net.Conn, br *bufio.Reader, _ int, _ string) bool {
		_, err := br.ReadByte()
		return err == nil
	}, newRequest("id-1", thtable.AtMostOnce, 100*time.Millisecond))
	assert.Equal(t, rs[0].End, thpick.TimedOut)
	assert.Assert(t, rs[0].Took < testTimeout)
}

// TestClosedPortIsRefused guards against taking a refused connection for a
// request that may have run.
func TestClosedPortIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	r := newClient().Send(context.Background(), thtable.Target{ID: "t", Address: l.Addr().String()}, newRequest("id", thtable.AtMostOnce, testTimeout), thsend.ConnectionOptions{})
	assert.Equal(t, r.End, thpick.NotSent)
	assert.Equal(t, r.Outcome, thhealth.ConnectionRefused)
}

// TestOnlyCleanConnectionsAreReused guards against requests on connections that
// hold unread bytes or that the target is about to close.
func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	for _, c := range []struct {
		name        string
		text        func(id string) string
		connections int
	}{
		{"whole answer", func(id string) string { return answerText(id, "x") }, 1},
		{"bytes after the answer", func(id string) string { return answerText(id, "x") + "more" }, 2},
		{"Connection: close", func(id string) string { return answerText(id, "x", "Connection: close") }, 2},
		{"Keep-Alive timeout of 0", func(id string) string { return answerText(id, "x", "Keep-Alive: timeout=0") }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, s := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				return write(k, c.text(id))
			}, newRequest("id-1", thtable.Idempotent, testTimeout), newRequest("id-2", thtable.Idempotent, testTimeout))
			assert.Equal(t, rs[1].End, thpick.Answered, "%v", rs[1].Err)
			_, connections := s.counts()
			assert.Equal(t, connections, c.connections)
		})
	}
}

// TestLateAnswerOnReusedConnectionIsNotTheNextCallers guards against an answer that comes
// late, when the connection is in use for the next request, and reaches that one's caller.
// A rejection must not be believed either: the next request may be running.
func TestLateAnswerOnReusedConnectionIsNotTheNextCallers(t *testing.T) {
	const withoutID = "HTTP/1.1 %s\r\nX-Stamp: s\r\n%sContent-Length: 4\r\n\r\nlate"
	for _, c := range []struct {
		name, late string
		want       thpick.AttemptEnd
	}{
		{"second copy of an answer", answerText("id-1", "late"), thpick.Answered},
		{"two more copies", answerText("id-1", "late") + answerText("id-1", "late"), thpick.Answered},
		{"copy of a rejection", strings.Replace(answerText("id-1", "late", "X-Not-Run: 1"), "200 OK", "503 Full", 1), thpick.Answered},
		{"interim answers", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3), thpick.Answered},
		{"answer without an ID", fmt.Sprintf(withoutID, "200 OK", ""), thpick.Lost},
		{"rejection without an ID", fmt.Sprintf(withoutID, "503 Full", "X-Not-Run: 1\r\n"), thpick.Lost},
		{"wrong target without an ID", fmt.Sprintf(withoutID, "421 Misdirected Request", ""), thpick.Lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, s := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, number int, id string) bool {
				if number == 2 && !write(k, c.late) {
					return false
				}
				return write(k, answerText(id, "own "+id))
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout), newRequest("id-2", thtable.AtMostOnce, testTimeout), newRequest("id-3", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[1].End, c.want, "%v", rs[1].Err)
			if c.want == thpick.Answered {
				assert.Equal(t, string(rs[1].Answer.Body), "own id-2")
			}
			assert.Equal(t, rs[2].End, thpick.Answered, "%v", rs[2].Err)
			assert.Equal(t, string(rs[2].Answer.Body), "own id-3")
			requests, _ := s.counts()
			assert.Equal(t, requests, 3)
		})
	}
}

// TestConnectionIsNotReusedAfterEarlyAnswer guards against the rest of a request
// body reaching the target as a later request: the target answers before it has
// read a long body.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	first := newRequest("id-1", thtable.Upload, testTimeout)
	first.Method, first.Body = "POST", thmessage.Body{make([]byte, 8<<20)}
	rs, s := sendAll(t, func(_ *scriptedTarget, c net.Conn, br *bufio.Reader, number int, id string) bool {
		if number == 1 {
			write(c, answerText(id, "early"))
			time.Sleep(300 * time.Millisecond) // the client's write stays blocked meanwhile
			n, err := br.Discard(8 << 20)
			return err == nil && n == 8<<20
		}
		return write(c, answerText(id, "second"))
	}, first, newRequest("id-2", thtable.AtMostOnce, testTimeout))
	assert.Equal(t, rs[0].End, thpick.Answered, "%v", rs[0].Err)
	assert.Equal(t, rs[1].End, thpick.Answered, "%v", rs[1].Err)
	assert.Equal(t, string(rs[1].Answer.Body), "second")
	requests, connections := s.counts()
	assert.Equal(t, requests, 2)
	assert.Equal(t, connections, 2)
}

// TestCancelledRequestClosesItsConnection guards against a cancelled request that
// keeps its target busy.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newScriptedTarget(t, func(_ *scriptedTarget, _ net.Conn, br *bufio.Reader, _ int, _ string) bool {
		_, err := br.ReadByte()
		close(closed)
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := newClient().Send(ctx, thtable.Target{ID: "t", Address: s.address}, newRequest("id", thtable.Idempotent, testTimeout), thsend.ConnectionOptions{})
	assert.Equal(t, r.End, thpick.Lost)
	assert.Equal(t, r.Outcome, thhealth.Inconclusive)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection to the target is still open after the cancellation")
	}
}

// TestRetainClosesConnectionsToDrainingTargets guards against idle connections to
// targets that get no further requests.
func TestRetainClosesConnectionsToDrainingTargets(t *testing.T) {
	s := newScriptedTarget(t, func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answerText(id, "x"))
	})
	c := newClient()
	g := thtable.Target{ID: "t", Address: s.address}
	assert.Equal(t, c.Send(context.Background(), g, newRequest("id", thtable.AtMostOnce, testTimeout), thsend.ConnectionOptions{}).End, thpick.Answered)
	assert.Assert(t, c.HasIdleConnection("t", false))
	c.Retain([]thtable.Target{{ID: "t", Draining: true}})
	assert.Assert(t, !c.HasIdleConnection("t", true))
}

// TestConnectionIsReusedAfterRequestDeadline guards against discarding an idle
// connection because the deadline of its previous, answered request has passed.
func TestConnectionIsReusedAfterRequestDeadline(t *testing.T) {
	const short = 200 * time.Millisecond
	s := newScriptedTarget(t, func(_ *scriptedTarget, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answerText(id, "body", "Keep-Alive: timeout=60"))
	})
	client := newClient()
	target := thtable.Target{ID: "t", Address: s.address}
	for i := range 2 {
		r := client.Send(context.Background(), target, newRequest(fmt.Sprint(i), thtable.Idempotent, short), thsend.ConnectionOptions{})
		assert.Equal(t, r.End, thpick.Answered)
		time.Sleep(2 * short)
	}
	_, connections := s.counts()
	assert.Equal(t, connections, 1)
}
