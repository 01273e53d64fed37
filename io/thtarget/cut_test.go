package thtarget_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/therror"

	"gotest.tools/v3/assert"
)

// TestEveryCutOfAnAnswer ends the connection after each number of bytes of an
// answer: only the whole may be passed on.
func TestEveryCutOfAnAnswer(t *testing.T) {
	answers := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nTamarack-Request-Id: r\r\nContent-Length: 11\r\n\r\nwhole\r\n\r\nxy",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n6\r\n\r\n\r\nxy\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nwhole\r\n\r\nxy\r\n0\r\nSum: 1\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole\r\n\r\nxy",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at atomic.Int64
			s := newScripted(t, func(_ *scripted, p *peer) {
				if _, ok := p.request(); ok {
					p.say(text[:at.Load()])
				}
			})
			c := newClient()
			t.Cleanup(c.Close)
			for cut := range len(text) + 1 {
				at.Store(int64(cut))
				a := send(c, s, newRequest("r", "GET", patience))
				if cut == len(text) {
					assert.NilError(t, a.Err)
					assert.Equal(t, string(a.Answer.Body), "whole\r\n\r\nxy")
					continue
				}
				assert.Assert(t, a.Answer == nil, "after %d of %d bytes %q was passed on", cut, len(text), a.Answer)
				assert.Equal(t, therror.KindOf(a.Err).Answer().Outcome, therror.OutcomeUnknown)
				assert.Assert(t, a.Sent)
			}
		})
	}
}

// TestEveryCutOfARequest has the target end the connection after each number
// of bytes of a request. It ran the request only if it had it whole.
func TestEveryCutOfARequest(t *testing.T) {
	const all = 400
	var takes atomic.Int64
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = io.ReadFull(p.reader, make([]byte, takes.Load()))
		p.reset()
	})
	c := newClient()
	t.Cleanup(c.Close)
	for took := 0; took < all; took += 7 {
		takes.Store(int64(took))
		q := newRequest("r", "POST", patience)
		q.Body = []byte(strings.Repeat("x", all))
		a := send(c, s, q)
		assert.Assert(t, a.Err != nil)
		if !a.Sent {
			assert.Equal(t, therror.KindOf(a.Err).Answer().Outcome, therror.NotRun)
			assert.Equal(t, took, 0, "not sent, yet the target has read %d bytes", took)
			continue
		}
		assert.Equal(t, therror.KindOf(a.Err).Answer().Outcome, therror.OutcomeUnknown, "%v", a.Err)
	}
	assert.Equal(t, s.ran("r"), 0)
}

// TestEarlyAnswerWithoutClose has a target answer a large request after its
// beginning and read no more of it, without closing.
func TestEarlyAnswerWithoutClose(t *testing.T) {
	s := newScripted(t, func(_ *scripted, p *peer) {
		_, _ = p.reader.Peek(1)
		p.say("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
		<-p.target.ended
	})
	q := newRequest("r1", "POST", 30*time.Second)
	q.Body = []byte(strings.Repeat("x", 32<<20))
	c := newClient()
	t.Cleanup(c.Close)
	a := send(c, s, q)
	assert.NilError(t, a.Err)
	assert.Equal(t, fmt.Sprint(a.Answer.Status, string(a.Answer.Body)), "413large")
	next := send(c, s, newRequest("r2", "GET", patience))
	assert.Assert(t, !next.Reused)
}

// TestTargetThatReadsSlowly has a target read nothing of a large upload for
// longer than a silent connection may last, and then all of it.
func TestTargetThatReadsSlowly(t *testing.T) {
	s := newScripted(t, func(_ *scripted, p *peer) {
		time.Sleep(4 * time.Second)
		if _, ok := p.request(); ok {
			p.say(okAnswer)
		}
		<-p.target.ended
	})
	q := newRequest("r1", "POST", 60*time.Second)
	q.Body = []byte(strings.Repeat("x", 3<<20))
	c := newClient()
	t.Cleanup(c.Close)
	a := send(c, s, q)
	assert.NilError(t, a.Err)
	assert.Equal(t, s.ran("r1"), 1)
}
