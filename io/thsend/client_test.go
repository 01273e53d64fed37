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
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsend"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// scripted is a target whose answer to each request is written as it stands.
// A script returns false to end the connection, with a reset if it is cut.
type scripted struct {
	address string
	mu      sync.Mutex
	runs    int
	opened  int
	fields  []string
}

type script func(s *scripted, c net.Conn, br *bufio.Reader, number int, id string) bool

func newScripted(t *testing.T, run script) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scripted{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			s.mu.Unlock()
			go s.serve(c, run)
		}
	}()
	return s
}

func (s *scripted) serve(c net.Conn, run script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		var h fasthttp.RequestHeader
		if h.Read(br) != nil {
			return
		}
		s.mu.Lock()
		s.runs++
		number := s.runs
		s.fields = append(s.fields, h.String())
		s.mu.Unlock()
		if !run(s, c, br, number, string(h.Peek("X-Id"))) {
			return
		}
	}
}

func (s *scripted) counts() (runs, opened int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs, s.opened
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func answer(id, body string, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(append(fields, ""), "\r\n"), len(body), body)
}

func newClient() *thsend.Client {
	return thsend.New(thsend.Options{Clock: thclock.System{}, Names: thmessage.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Left", Target: "X-Target", Customer: "X-Customer", Signature: "X-Stamp", NotRun: "X-Not-Run",
	}})
}

func request(id string, safety thtable.Safety, patience time.Duration) *thmessage.Request {
	now := thclock.System{}.Now()
	return &thmessage.Request{
		ID: id, Method: "GET", Host: "h.example", URI: "/x/?a=%20b", Route: thtable.Route{Safety: safety},
		Customer: thtable.Customer{Name: "c"}, Deadline: now.Add(patience),
	}
}

const patience = 5 * time.Second

func send(t *testing.T, run script, qs ...*thmessage.Request) ([]thsend.Result, *scripted) {
	t.Helper()
	s := newScripted(t, run)
	c := newClient()
	var rs []thsend.Result
	for _, q := range qs {
		rs = append(rs, c.Send(context.Background(), thtable.Target{ID: "t1", Address: s.address}, q, thsend.Manner{}))
	}
	return rs, s
}

func TestEndsOfAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name    string
		run     script
		end     thpick.End
		outcome thjudge.Outcome
		body    string
	}{
		{"whole answer", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answer(id, "hello"))
		}, thpick.Answered, thjudge.Answered, "hello"},
		{"answer that ends with its connection", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n\r\nto the end") && false
		}, thpick.Answered, thjudge.Answered, "to the end"},
		{"answer that is reset on the way", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n\r\nnot to the")
			time.Sleep(20 * time.Millisecond) // let the bytes go before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, thpick.Lost, thjudge.Failed, ""},
		{"answer cut short", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, strings.TrimSuffix(answer(id, "hello"), "lo")) && false
		}, thpick.Lost, thjudge.Failed, ""},
		{"chunked answer", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
		}, thpick.Answered, thjudge.Answered, "hello"},
		{"another request's answer first", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answer("other", "wrong")+answer(id, "right"))
		}, thpick.Answered, thjudge.Answered, "right"},
		{"no answer of the target's own", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n\r\nhi")
		}, thpick.Lost, thjudge.Failed, ""},
		{"encoded answer", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, answer(id, "zzzz", "Content-Encoding: gzip"))
		}, thpick.Lost, thjudge.Failed, ""},
		{"bytes that are no answer", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, _ string) bool {
			return write(c, "\x00\x01garbage\r\n\r\n") && false
		}, thpick.Lost, thjudge.Failed, ""},
		{"failure of the target", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, strings.Replace(answer(id, "no"), "200 OK", "500 Oh", 1))
		}, thpick.Failure, thjudge.Failed, "no"},
		{"rejection", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}, thpick.NotRun, thjudge.Rejected, ""},
		{"another target at the address", func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
			return write(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		}, thpick.NotRun, thjudge.Refused, ""},
		{"connection ended without an answer", func(*scripted, net.Conn, *bufio.Reader, int, string) bool { return false }, thpick.Lost, thjudge.Cut, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, _ := send(t, c.run, request("id-1", thtable.AtMostOnce, patience))
			r := rs[0]
			assert.Equal(t, r.End, c.end, "%v", r.Err)
			assert.Equal(t, r.Outcome, c.outcome)
			if c.body != "" {
				assert.Equal(t, string(r.Answer.Body), c.body)
			}
		})
	}
}

func TestWhatTheTargetIsTold(t *testing.T) {
	_, s := send(t, func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answer(id, "x"))
	}, request("id-1", thtable.AtMostOnce, patience))
	h := s.fields[0]
	for _, want := range []string{"GET /x/?a=%20b HTTP/1.1", "Host: h.example", "X-Id: id-1", "X-Target: t1", "X-Customer: c", "X-Left: "} {
		assert.Assert(t, strings.Contains(h, want), "%q in %q", want, h)
	}
}

func TestSilenceEndsAtTheDeadline(t *testing.T) {
	rs, _ := send(t, func(_ *scripted, c net.Conn, br *bufio.Reader, _ int, _ string) bool {
		_, err := br.ReadByte()
		return err == nil
	}, request("id-1", thtable.AtMostOnce, 100*time.Millisecond))
	assert.Equal(t, rs[0].End, thpick.Late)
	assert.Assert(t, rs[0].Took < patience)
}

func TestAPortWithoutListenerIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	r := newClient().Send(context.Background(), thtable.Target{ID: "t", Address: l.Addr().String()}, request("id", thtable.AtMostOnce, patience), thsend.Manner{})
	assert.Equal(t, r.End, thpick.NotSent)
	assert.Equal(t, r.Outcome, thjudge.Refused)
}

func TestCleanConnectionsAreUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		text   func(id string) string
		opened int
	}{
		{"clean", func(id string) string { return answer(id, "x") }, 1},
		{"bytes behind the answer", func(id string) string { return answer(id, "x") + "more" }, 2},
		{"asked to close", func(id string) string { return answer(id, "x", "Connection: close") }, 2},
		{"kept for no time", func(id string) string { return answer(id, "x", "Keep-Alive: timeout=0") }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, s := send(t, func(_ *scripted, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				return write(k, c.text(id))
			}, request("id-1", thtable.Idempotent, patience), request("id-2", thtable.Idempotent, patience))
			assert.Equal(t, rs[1].End, thpick.Answered, "%v", rs[1].Err)
			_, opened := s.counts()
			assert.Equal(t, opened, c.opened)
		})
	}
}

// TestAnEarlyAnswerLeavesNothingBehind has a target that answers before it has
// read a long body: what is left of the body reaches no later request.
func TestAnEarlyAnswerLeavesNothingBehind(t *testing.T) {
	first := request("id-1", thtable.Upload, patience)
	first.Method, first.Body = "POST", make([]byte, 8<<20)
	rs, s := send(t, func(_ *scripted, c net.Conn, br *bufio.Reader, number int, id string) bool {
		if number == 1 {
			write(c, answer(id, "early"))
			time.Sleep(300 * time.Millisecond) // the rest of the body is read late
			n, err := br.Discard(8 << 20)
			return err == nil && n == 8<<20
		}
		return write(c, answer(id, "second"))
	}, first, request("id-2", thtable.AtMostOnce, patience))
	assert.Equal(t, rs[0].End, thpick.Answered, "%v", rs[0].Err)
	assert.Equal(t, rs[1].End, thpick.Answered, "%v", rs[1].Err)
	assert.Equal(t, string(rs[1].Answer.Body), "second")
	runs, opened := s.counts()
	assert.Equal(t, runs, 2)
	assert.Equal(t, opened, 2)
}

func TestACancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newScripted(t, func(_ *scripted, _ net.Conn, br *bufio.Reader, _ int, _ string) bool {
		_, err := br.ReadByte()
		close(closed)
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := newClient().Send(ctx, thtable.Target{ID: "t", Address: s.address}, request("id", thtable.Idempotent, patience), thsend.Manner{})
	assert.Equal(t, r.End, thpick.Lost)
	assert.Equal(t, r.Outcome, thjudge.Unknown)
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the target's connection is still open")
	}
}

func TestTargetsThatAreGoneKeepNoConnections(t *testing.T) {
	s := newScripted(t, func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answer(id, "x"))
	})
	c := newClient()
	g := thtable.Target{ID: "t", Address: s.address}
	assert.Equal(t, c.Send(context.Background(), g, request("id", thtable.AtMostOnce, patience), thsend.Manner{}).End, thpick.Answered)
	assert.Assert(t, c.HasIdle("t", false))
	c.Retain([]thtable.Target{{ID: "t", Draining: true}})
	assert.Assert(t, !c.HasIdle("t", true))
}

// TestAConnectionOutlivesTheDeadlinesOfItsRequests lets the deadline of a
// request that was answered pass before the next one is sent.
func TestAConnectionOutlivesTheDeadlinesOfItsRequests(t *testing.T) {
	const short = 200 * time.Millisecond
	s := newScripted(t, func(_ *scripted, c net.Conn, _ *bufio.Reader, _ int, id string) bool {
		return write(c, answer(id, "body", "Keep-Alive: timeout=60"))
	})
	client := newClient()
	target := thtable.Target{ID: "t", Address: s.address}
	for i := range 2 {
		r := client.Send(context.Background(), target, request(fmt.Sprint(i), thtable.Idempotent, short), thsend.Manner{})
		assert.Equal(t, r.End, thpick.Answered)
		time.Sleep(2 * short)
	}
	_, opened := s.counts()
	assert.Equal(t, opened, 1)
}
