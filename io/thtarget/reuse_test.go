package thtarget_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thtarget"

	"gotest.tools/v3/assert"
)

func TestConnectionIsReusedAfterACleanAnswer(t *testing.T) {
	s := newScripted(t, serveWell)
	c := newClient()
	defer c.Close()
	for i := range 5 {
		a := send(c, s, newRequest(fmt.Sprint(i), "GET", patience))
		assert.NilError(t, a.Err)
		assert.Equal(t, a.Reused, i > 0)
	}
	assert.Equal(t, s.connections(), 1)
}

func TestConnectionIsNotReusedAfterAnythingElse(t *testing.T) {
	for _, b := range breakPoints() {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, func(s *scripted, p *peer) {
				if p.number == 1 {
					b.script(s, p)
					return
				}
				serveWell(s, p)
			})
			c := newClient()
			t.Cleanup(c.Close)
			_ = send(c, s, newRequest("r1", b.method, b.wait))
			a := send(c, s, newRequest("r2", "POST", patience))
			assert.NilError(t, a.Err)
			assert.Assert(t, !a.Reused)
			assert.Equal(t, s.ran("r2"), 1)
		})
	}
}

// TestDeadIdleConnection has a target that closes each connection after one
// answer: the request must go out on a new one, once.
func TestDeadIdleConnection(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		closed := make(chan struct{}, 1)
		s := newScripted(t, func(_ *scripted, p *peer) {
			if _, ok := p.request(); ok {
				p.say(okAnswer)
			}
			if p.number > 1 {
				p.untilClosed()
			}
			if how == "reset" {
				p.reset()
			}
			_ = p.Close()
			closed <- struct{}{}
		})
		c := newClient()
		assert.NilError(t, send(c, s, newRequest("r1", "GET", patience)).Err)
		<-closed
		a := send(c, s, newRequest("r2", "POST", patience))
		assert.NilError(t, a.Err)
		assert.Assert(t, !a.Reused)
		assert.Equal(t, s.ran("r2"), 1)
		c.Close()
	}
}

func TestUnaskedBytesCloseAnIdleConnection(t *testing.T) {
	said := make(chan struct{})
	s := newScripted(t, func(_ *scripted, p *peer) {
		if _, ok := p.request(); !ok {
			return
		}
		p.say(okAnswer)
		if p.number == 1 {
			p.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			close(said)
		}
		p.untilClosed()
	})
	c := newClient()
	defer c.Close()
	a := send(c, s, newRequest("r1", "GET", patience))
	<-said
	if a.Err != nil {
		assert.Equal(t, therror.KindOf(a.Err), therror.AnswerBroken)
	}
	a = send(c, s, newRequest("r2", "GET", patience))
	assert.NilError(t, a.Err)
	assert.Equal(t, string(a.Answer.Body), "whole")
	assert.Equal(t, s.connections(), 2)
}

// TestSilentConnectionsCostOneWait has connections that answer one request
// and are silent from then on, while new ones work.
func TestSilentConnectionsCostOneWait(t *testing.T) {
	const together = 4
	hold := make(chan struct{})
	s := newScripted(t, func(_ *scripted, p *peer) {
		if _, ok := p.request(); !ok {
			return
		}
		if p.number <= together {
			<-hold
			p.say(okAnswer)
			p.untilClosed()
			return
		}
		p.say(okAnswer)
		serveWell(p.target, p)
	})
	c := newClient()
	defer c.Close()
	answers := make(chan threquest.Attempt)
	for i := range together {
		go func() { answers <- send(c, s, newRequest(fmt.Sprint("w", i), "GET", patience)) }()
	}
	for s.connections() < together {
		time.Sleep(time.Millisecond)
	}
	close(hold)
	for range together {
		assert.NilError(t, (<-answers).Err)
	}
	waits := 0
	for i := range 20 {
		q := newRequest(fmt.Sprint("r", i), "GET", patience)
		a := send(c, s, q)
		if a.Err == nil {
			continue
		}
		waits++
		assert.Equal(t, therror.KindOf(a.Err), therror.AnswerLate)
		assert.Assert(t, a.Reused)
		assert.Assert(t, a.Ended.Before(q.Deadline), "the wait took all the time there was")
	}
	assert.Equal(t, waits, 1)
}

func TestConnectionsAreBounded(t *testing.T) {
	hold := make(chan struct{})
	s := newScripted(t, func(_ *scripted, p *peer) {
		if _, ok := p.request(); ok {
			<-hold
			p.say(okAnswer)
		}
	})
	c := newClient()
	defer c.Close()
	first := newRequest("r1", "GET", patience)
	first.Service.Connections = 1
	done := make(chan threquest.Attempt)
	go func() { done <- send(c, s, first) }()
	for s.ran("r1") == 0 {
		time.Sleep(time.Millisecond)
	}
	second := newRequest("r2", "GET", patience)
	second.Service.Connections = 1
	a := send(c, s, second)
	assert.Equal(t, therror.KindOf(a.Err), therror.QueueFull)
	assert.Assert(t, !a.Sent)
	close(hold)
	assert.NilError(t, (<-done).Err)
	assert.Equal(t, s.ran("r2"), 0)
}

func TestTargetsSeeNeitherKeyNorHopByHopFields(t *testing.T) {
	s := newScripted(t, serveWell)
	q := newRequest("r1", "POST", patience)
	for _, f := range []string{"Authorization", "authorization", "Connection", "X-Secret-Hop", "Keep-Alive", "TE", "Upgrade", "Expect", "Transfer-Encoding", "Content-Length", "Proxy-Authorization", "Tamarack-Deadline-Millis", "Tamarack-Credential", "Tamarack-Customer"} {
		q.Headers = append(q.Headers, threquest.Header{Name: f, Value: "x-secret-hop"})
	}
	q.Headers = append(q.Headers, threquest.Header{Name: "Accept", Value: "text/plain"}, threquest.Header{Name: "Idempotency-Key", Value: "k"}, threquest.Header{Name: "Tamarack-Customer", Value: "depot"})
	q.Customer.Name = "depot"
	a := newClient().Send(context.Background(), s.address(), q)
	assert.NilError(t, a.Err)
	text := strings.ToLower(s.seen[0])
	assert.Assert(t, !strings.Contains(text, "x-secret-hop"), text)
	for _, want := range []string{"accept: text/plain", "idempotency-key: k", "tamarack-request-id: r1", "tamarack-deadline-millis: ", "content-length: 9", "tamarack-customer: depot"} {
		assert.Assert(t, strings.Contains(text, want), "%s in %s", want, text)
	}
}

func TestMalformedRequestsAreNotSent(t *testing.T) {
	s := newScripted(t, serveWell)
	for _, q := range []*threquest.Request{{Method: "GET /x", URI: "/"}, {Method: "GET", URI: "/ HTTP/1.1\r\nX: y"}, {Method: "CONNECT", URI: "/"}, {}} {
		a := send(newClient(), s, q)
		assert.Equal(t, therror.KindOf(a.Err), therror.RequestMalformed)
	}
	assert.Equal(t, s.connections(), 0)
}

// TestShareFollowsTheSubset has so many VMs that each uses some of a service's
// targets only, with two connections to each, and not a part of one to all.
func TestShareFollowsTheSubset(t *testing.T) {
	const vms = 460
	s := newScripted(t, func(s *scripted, p *peer) {
		if _, ok := p.request(); !ok {
			return
		}
		<-s.ended
	})
	c := thtarget.New(thtarget.Options{Clock: thclock.System{}, Log: thevent.Discard{}, VMs: func() int { return vms }})
	defer c.Close()
	big := service
	big.Targets = make([]thconfig.Target, 60)
	_, each := throute.Place{VMs: vms}.Connections(big)
	assert.Equal(t, each, 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for i := range each {
		go func() {
			q := newRequest(fmt.Sprint(i), "GET", patience)
			q.Service = big
			_ = c.Send(ctx, s.address(), q)
			done <- struct{}{}
		}()
	}
	for s.connections() < each {
		time.Sleep(time.Millisecond)
	}
	q := newRequest("over", "GET", patience)
	q.Service = big
	a := c.Send(ctx, s.address(), q)
	assert.Equal(t, therror.KindOf(a.Err), therror.QueueFull)
	cancel()
	for range each {
		<-done
	}
}
