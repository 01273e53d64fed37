package thtarget_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/therror"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const shortWait = 200 * time.Millisecond

// breakPoint is one way for a connection to break or an answer to be wrong.
type breakPoint struct {
	name   string
	method string
	wait   time.Duration
	script func(*scripted, *peer)
	// kind is what the caller must be told.
	kind therror.Kind
	// ran is whether the target has the whole request.
	ran bool
}

// say returns a script that answers every request with the text and closes.
func say(text string) func(*scripted, *peer) {
	return func(_ *scripted, p *peer) {
		if _, ok := p.request(); ok {
			p.say(text)
		}
	}
}

func breakPoints() []breakPoint {
	hold := func(text string) func(*scripted, *peer) {
		return func(_ *scripted, p *peer) {
			if _, ok := p.request(); ok {
				p.say(text)
				p.untilClosed()
			}
		}
	}
	return []breakPoint{
		{"closed before the request", "POST", patience, func(_ *scripted, p *peer) { p.reset() }, therror.AnswerLost, false},
		{"closed after the request", "POST", patience, say(""), therror.AnswerLost, true},
		{"reset after the request", "POST", patience, func(_ *scripted, p *peer) {
			_, _ = p.request()
			p.reset()
		}, therror.AnswerLost, true},
		{"late", "POST", shortWait, hold(""), therror.AnswerLate, true},
		{"late after the header", "POST", shortWait, hold("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh"), therror.AnswerLate, true},
		{"cut in the status line", "POST", patience, say("HTTP/1."), therror.AnswerBroken, true},
		{"cut in the header", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Len"), therror.AnswerBroken, true},
		{"cut before the body", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), therror.AnswerBroken, true},
		{"cut in the body", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol"), therror.AnswerBroken, true},
		{"cut in a chunk", "POST", patience, say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho"), therror.AnswerBroken, true},
		{"cut between chunks", "POST", patience, say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"), therror.AnswerBroken, true},
		{"cut before the trailer's end", "POST", patience, say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"), therror.AnswerBroken, true},
		{"no length", "POST", patience, say("HTTP/1.1 200 OK\r\n\r\nwhole"), therror.AnswerBroken, true},
		{"no length in HTTP/1.0", "POST", patience, say("HTTP/1.0 200 OK\r\n\r\nwhole"), therror.AnswerBroken, true},
		{"two lengths", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole"), therror.AnswerBroken, true},
		{"over-long", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole and more"), therror.AnswerBroken, true},
		{"pipelined leftover", "POST", patience, say(okAnswer + okAnswer), therror.AnswerBroken, true},
		{"above the limit", "POST", patience, say("HTTP/1.1 200 OK\r\nContent-Length: 17000000\r\n\r\n"), therror.AnswerBroken, true},
		{"crossed", "POST", patience, say("HTTP/1.1 200 OK\r\nTamarack-Request-Id: other\r\nContent-Length: 5\r\n\r\nwhole"), therror.AnswerBroken, true},
		{"not HTTP", "POST", patience, say("hello\r\n\r\n"), therror.AnswerBroken, true},
		{"interim only", "POST", patience, say("HTTP/1.1 102 Processing\r\n\r\n"), therror.AnswerBroken, true},
		{"switched protocols", "GET", patience, say("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), therror.AnswerBroken, true},
		{"body of no answer to HEAD", "HEAD", patience, say(okAnswer), therror.AnswerBroken, true},
	}
}

func TestBreakPoints(t *testing.T) {
	for _, b := range breakPoints() {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, b.script)
			c := newClient()
			t.Cleanup(c.Close)
			a := send(c, s, newRequest("r1", b.method, b.wait))
			assert.Assert(t, a.Answer == nil, "an answer was passed on: %+v", a.Answer)
			if b.name == "closed before the request" && therror.Is(a.Err, therror.ConnectFailed) {
				// The reset may come before the first byte is taken.
				assert.Assert(t, !a.Sent)
			} else {
				assert.Equal(t, therror.KindOf(a.Err), b.kind, "%v", a.Err)
				assert.Assert(t, a.Sent)
			}
			assert.Equal(t, s.ran("r1"), map[bool]int{true: 1}[b.ran])
			assert.Equal(t, s.connections(), 1)
			checkNotRun(t, s, "r1", a.Err)
		})
	}
}

// checkNotRun fails if the caller would be told that a request was not run
// which the target has whole.
func checkNotRun(t *testing.T, s *scripted, id string, err error) {
	t.Helper()
	if therror.KindOf(err).Answer().Outcome == therror.NotRun {
		assert.Equal(t, s.ran(id), 0, "%v", err)
	}
}

func TestWholeAnswers(t *testing.T) {
	cases := []struct{ name, method, text, body string }{
		{"length", "POST", okAnswer, "whole"},
		{"empty", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{"chunked", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n", "whole"},
		{"chunked with trailer", "GET", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", "whole"},
		{"after interim answers", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer, "whole"},
		{"HTTP/1.0 with length", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
		{"no content", "POST", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
		{"closing", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
		{"echoed", "POST", "HTTP/1.1 200 OK\r\nTamarack-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
		{"server error", "POST", "HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, say(k.text))
			c := newClient()
			t.Cleanup(c.Close)
			a := send(c, s, newRequest("r1", k.method, patience))
			assert.NilError(t, a.Err)
			assert.Equal(t, string(a.Answer.Body), k.body)
			assert.Equal(t, s.ran("r1"), 1)
		})
	}
}

func TestNoDialMeansNotSent(t *testing.T) {
	s := newScripted(t, serveWell)
	_ = s.listener.Close()
	a := send(newClient(), s, newRequest("r1", "POST", patience))
	assert.Equal(t, therror.KindOf(a.Err), therror.ConnectFailed)
	assert.Assert(t, !a.Sent)
}

func TestPassedDeadlineMeansNotSent(t *testing.T) {
	s := newScripted(t, serveWell)
	a := send(newClient(), s, newRequest("r1", "POST", -time.Second))
	assert.Equal(t, therror.KindOf(a.Err), therror.QueueTimeout)
	assert.Assert(t, !a.Sent)
	assert.Equal(t, s.connections(), 0)
}

func TestHalfWrittenIsSent(t *testing.T) {
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = p.reader.Peek(1)
		p.reset()
	})
	q := newRequest("r1", "POST", patience)
	q.Body = []byte(strings.Repeat("x", 8<<20))
	a := send(newClient(), s, q)
	assert.Equal(t, therror.KindOf(a.Err).Answer().Outcome, therror.OutcomeUnknown, "%v", a.Err)
	assert.Assert(t, a.Sent)
	assert.Equal(t, s.ran("r1"), 0)
}

func TestEarlyAnswerIsPassedOn(t *testing.T) {
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = p.reader.Peek(1)
		p.say("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
		// The answer stays readable because the close is orderly and nothing is left unread.
		p.untilClosed()
	})
	q := newRequest("r1", "POST", patience)
	q.Body = []byte(strings.Repeat("x", 1<<20))
	a := send(newClient(), s, q)
	assert.NilError(t, a.Err)
	assert.Equal(t, a.Answer.Status, 413)
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = p.request()
		cancel()
		p.untilClosed()
		close(closed)
	})
	a := newClient().Send(ctx, s.address(), newRequest("r1", "POST", patience))
	assert.Equal(t, therror.KindOf(a.Err), therror.CallerGone)
	assert.Assert(t, a.Sent)
	<-closed
}

// TestPlainClientRepeatsAndCuts shows what the HTTP library's own client does
// at the same break points.
func TestPlainClientRepeatsAndCuts(t *testing.T) {
	wrong := []string{}
	for _, b := range breakPoints() {
		s := newScripted(t, b.script)
		h := fasthttp.HostClient{Addr: s.address(), ReadTimeout: shortWait, MaxResponseBodySize: 16 << 20}
		var q fasthttp.Request
		var r fasthttp.Response
		q.SetRequestURI("http://" + s.address() + "/orders")
		q.Header.SetMethod(b.method)
		q.Header.Set("Tamarack-Request-Id", "r1")
		err := h.Do(&q, &r)
		if err == nil {
			wrong = append(wrong, fmt.Sprintf("%s: passed on %d %q", b.name, r.StatusCode(), r.Body()))
		}
		if n := s.ran("r1"); n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s: ran %d times", b.name, n))
		}
	}
	wrong = append(wrong, plainOnReused(t, "POST")...)
	wrong = append(wrong, plainOnReused(t, "PUT")...)
	t.Logf("%d wrong outcomes of %d:\n%s", len(wrong), len(breakPoints())+2, strings.Join(wrong, "\n"))
	assert.Assert(t, len(wrong) > 0)
}

// readAndClose answers the first request of each connection and closes after
// it has read the second one.
func readAndClose(_ *scripted, p *peer) {
	if _, ok := p.request(); !ok {
		return
	}
	p.say(okAnswer)
	_, _ = p.request()
}

// plainOnReused sends an order on a connection that the target closes after
// reading it.
func plainOnReused(t *testing.T, method string) []string {
	t.Helper()
	s := newScripted(t, readAndClose)
	h := fasthttp.HostClient{Addr: s.address()}
	for _, id := range []string{"r1", "r2"} {
		var q fasthttp.Request
		var r fasthttp.Response
		q.SetRequestURI("http://" + s.address() + "/orders")
		q.Header.SetMethod(method)
		q.Header.Set("Tamarack-Request-Id", id)
		_ = h.Do(&q, &r)
	}
	if n := s.ran("r2"); n != 1 {
		return []string{fmt.Sprintf("%s, closed after it was read on a reused connection: ran %d times", method, n)}
	}
	return nil
}

func TestReusedConnectionThatEndsIsNotRepeated(t *testing.T) {
	s := newScripted(t, readAndClose)
	c := newClient()
	defer c.Close()
	for i, method := range []string{"POST", "PUT", "GET"} {
		first, second := fmt.Sprint("a", i), fmt.Sprint("b", i)
		assert.NilError(t, send(c, s, newRequest(first, method, patience)).Err)
		a := send(c, s, newRequest(second, method, patience))
		assert.Equal(t, therror.KindOf(a.Err), therror.AnswerLost)
		assert.Assert(t, a.Sent && a.Reused)
		assert.Equal(t, s.ran(second), 1)
		assert.Equal(t, s.connections(), i+1)
	}
}

func TestContextDeadlineIsAnswerLate(t *testing.T) {
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = p.request()
		p.untilClosed()
	})
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	a := newClient().Send(ctx, s.address(), newRequest("r1", "POST", patience))
	assert.Equal(t, therror.KindOf(a.Err), therror.AnswerLate)
	assert.Assert(t, a.Sent)
}
