package thclaims_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thclaims"

	"gotest.tools/v3/assert"
)

func newClaims(p thstore.Platform, vm string) *thclaims.Claims {
	return thclaims.New(thclaims.Options{Platform: p, Clock: thclock.System{}, Log: thevent.Discard{}, Self: throster.VM{ID: vm}})
}

func order(key, body string) *threquest.Request {
	return &threquest.Request{
		ID: key, Method: "POST", URI: "/orders", Body: []byte(body), IdempotencyKey: key,
		Customer: thconfig.Customer{Name: "depot"},
		Deadline: thclock.System{}.Now().Add(10 * time.Second),
	}
}

// target counts the runs of each request that reaches it.
type target struct {
	runs   sync.Map
	answer string
	err    error
	before func()
}

func (t *target) next(_ context.Context, q *threquest.Request) (*threquest.Answer, error) {
	if t.before != nil {
		t.before()
	}
	n, _ := t.runs.LoadOrStore(q.IdempotencyKey, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if t.err != nil {
		return nil, t.err
	}
	return &threquest.Answer{Status: 201, Body: []byte(t.answer)}, nil
}

func (t *target) ran(key string) int {
	n, ok := t.runs.Load(key)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int64).Load())
}

func settle(t *testing.T, cs ...*thclaims.Claims) {
	t.Helper()
	for _, c := range cs {
		assert.NilError(t, c.Leave(context.Background()))
	}
}

func TestResendGetsTheRecordedAnswer(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "large": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore(1)
			up := &target{answer: strings.Repeat("x", size)}
			one, two := newClaims(s, "vm1"), newClaims(s, "vm2")
			first, err := one.Run(context.Background(), order("k", "one crate"), up.next)
			assert.NilError(t, err)
			settle(t, one)
			again, err := two.Run(context.Background(), order("k", "one crate"), up.next)
			assert.NilError(t, err)
			assert.DeepEqual(t, first, again)
			assert.Equal(t, up.ran("k"), 1)
			_, err = two.Run(context.Background(), order("k", "two crates"), up.next)
			assert.Equal(t, therror.KindOf(err), therror.ClaimMismatch)
			assert.Equal(t, up.ran("k"), 1)
		})
	}
}

func TestResendWhileRunning(t *testing.T) {
	s := newFakeStore(1)
	up := &target{answer: "done"}
	two := newClaims(s, "vm2")
	var err error
	up.before = func() {
		_, err = two.Run(context.Background(), order("k", "one crate"), up.next)
	}
	_, first := newClaims(s, "vm1").Run(context.Background(), order("k", "one crate"), up.next)
	assert.NilError(t, first)
	assert.Equal(t, therror.KindOf(err), therror.ClaimRunning)
	assert.Equal(t, up.ran("k"), 1)
}

func TestEndsOfClaims(t *testing.T) {
	cases := []struct {
		name string
		end  error
		// again is what a resend gets.
		again therror.Kind
		runs  int
	}{
		{"not sent", therror.New(therror.ConnectFailed, ""), therror.ConnectFailed, 2},
		{"cut", therror.New(therror.AnswerLost, ""), therror.ClaimOutcomeLost, 1},
		{"late", therror.New(therror.AnswerLate, ""), therror.ClaimOutcomeLost, 1},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			s := newFakeStore(1)
			up := &target{err: k.end}
			one, two := newClaims(s, "vm1"), newClaims(s, "vm2")
			_, err := one.Run(context.Background(), order("k", ""), up.next)
			assert.Equal(t, err, k.end)
			settle(t, one)
			_, err = two.Run(context.Background(), order("k", ""), up.next)
			assert.Equal(t, therror.KindOf(err), k.again)
			assert.Equal(t, up.ran("k"), k.runs)
		})
	}
}

func TestStoreDownMeansNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.down = true
		up := &target{}
		_, err := newClaims(s, "vm1").Run(context.Background(), order("k", ""), up.next)
		assert.Equal(t, therror.KindOf(err), therror.ClaimUnavailable)
		assert.Equal(t, therror.KindOf(err).Answer().Outcome, therror.NotRun)
		assert.Equal(t, up.ran("k"), 0)
		open := order("", "")
		_, err = newClaims(s, "vm1").Run(context.Background(), open, up.next)
		assert.NilError(t, err)
	})
}

// TestSimultaneousResends has many VMs claim the same keys at once over a
// store that loses writes and answers.
func TestSimultaneousResends(t *testing.T) {
	const vms, keys = 8, 40
	s := newFakeStore(7)
	s.loseAnswers, s.loseWrites = 0.2, 0.1
	up := &target{answer: "done"}
	var all []*thclaims.Claims
	var wait sync.WaitGroup
	for v := range vms {
		c := newClaims(s, fmt.Sprint("vm", v))
		all = append(all, c)
		for k := range keys {
			wait.Go(func() {
				a, err := c.Run(context.Background(), order(fmt.Sprint(k), "crate"), up.next)
				if err == nil && string(a.Body) != "done" {
					t.Errorf("answer %q", a.Body)
				}
			})
		}
	}
	wait.Wait()
	s.set(func(s *fakeStore) { s.loseAnswers, s.loseWrites = 0, 0 })
	settle(t, all...)
	for k := range keys {
		assert.Equal(t, up.ran(fmt.Sprint(k)), 1)
		a, err := all[0].Run(context.Background(), order(fmt.Sprint(k), "crate"), up.next)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "done")
	}
	assert.Assert(t, s.conflicts > 0)
}

func TestDigestsDiffer(t *testing.T) {
	a := order("k", "x")
	b := order("k", "x")
	b.URI, b.Body = a.URI+"x", nil
	assert.Assert(t, thclaim.Digest(a) != thclaim.Digest(b))
	assert.Assert(t, thclaim.Key("ab", "c") != thclaim.Key("a", "bc"))
}

// TestOwnAnswerIsKnownAtOnce has the store take the claim and then hang: the
// VM that ran the order gives its answer to a resend all the same.
func TestOwnAnswerIsKnownAtOnce(t *testing.T) {
	s := newFakeStore(1)
	hang := make(chan struct{})
	up := &target{answer: "done", before: func() {
		s.set(func(s *fakeStore) {
			s.before = func() bool {
				<-hang
				return true
			}
		})
	}}
	c := newClaims(s, "vm1")
	first, err := c.Run(context.Background(), order("k", "one crate"), up.next)
	assert.NilError(t, err)
	again, err := c.Run(context.Background(), order("k", "one crate"), up.next)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, again)
	_, err = c.Run(context.Background(), order("k", "two crates"), up.next)
	assert.Equal(t, therror.KindOf(err), therror.ClaimMismatch)
	close(hang)
	settle(t, c)
	assert.Equal(t, up.ran("k"), 1)
}

// TestEndWhoseAnswerIsLost has the store lose each answer while the order's
// end is written: nobody is told afterwards that the order is running.
func TestEndWhoseAnswerIsLost(t *testing.T) {
	s := newFakeStore(1)
	up := &target{answer: "done", before: func() {
		s.set(func(s *fakeStore) { s.loseAnswers = 1 })
	}}
	one, two := newClaims(s, "vm1"), newClaims(s, "vm2")
	_, err := one.Run(context.Background(), order("k", "one crate"), up.next)
	assert.NilError(t, err)
	settle(t, one)
	s.set(func(s *fakeStore) { s.loseAnswers = 0 })
	for _, c := range []*thclaims.Claims{one, two} {
		a, err := c.Run(context.Background(), order("k", "one crate"), up.next)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "done")
	}
	assert.Equal(t, up.ran("k"), 1)
}

// TestPendingAnswersAreBounded has orders with large answers run while the
// store is away. Their ends take bounded memory; once the store is back, each
// resend gets the whole answer or is told that it is lost, and none runs again.
func TestPendingAnswersAreBounded(t *testing.T) {
	const orders, size = 150, 100 << 10
	s := newFakeStore(1)
	up := &target{answer: strings.Repeat("x", size)}
	c := newClaims(s, "vm1")
	var claimed, all sync.WaitGroup
	claimed.Add(orders)
	down := make(chan struct{})
	up.before = func() {
		claimed.Done()
		<-down
	}
	for i := range orders {
		all.Go(func() {
			_, err := c.Run(context.Background(), order(fmt.Sprint(i), "crate"), up.next)
			assert.Check(t, err)
		})
	}
	claimed.Wait()
	s.set(func(s *fakeStore) { s.down = true })
	close(down)
	all.Wait()
	s.set(func(s *fakeStore) { s.down = false })
	settle(t, c)
	whole, lost := 0, 0
	for i := range orders {
		a, err := newClaims(s, "vm2").Run(context.Background(), order(fmt.Sprint(i), "crate"), up.next)
		if err == nil {
			assert.Equal(t, len(a.Body), size)
			whole++
		} else {
			assert.Equal(t, therror.KindOf(err), therror.ClaimOutcomeLost)
			lost++
		}
		assert.Equal(t, up.ran(fmt.Sprint(i)), 1)
	}
	// 8 MiB are what answers may take while they wait.
	assert.Equal(t, whole, (8<<20)/size)
	assert.Equal(t, lost, orders-whole)
}
