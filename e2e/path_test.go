package e2e_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thstand"

	"gotest.tools/v3/assert"
)

// apply has the change accepted by the whole fleet.
func (r *rig) apply(v *vm, id string, change thconfig.Change) {
	r.t.Helper()
	r.eventually("change "+id+" accepted", func() bool {
		a, err := r.operator(v).Apply(context.Background(), thoperator.ApplyRequest{ChangeID: id, Change: change})
		return err == nil && a.State == thoperator.StateAccepted
	})
}

// prepare loads the deployment with one customer and returns its key.
func (r *rig) prepare(rate float64, burst int) string {
	r.t.Helper()
	r.apply(r.vms[0], "deploy", thconfig.PutDeployment{
		Deployment: r.deployment(),
		Customers:  []thconfig.Customer{{Name: "depot", Rate: rate, Burst: burst}},
	})
	key, id := r.issue("depot")
	assert.Assert(r.t, id != "")
	r.everywhere(key, http.StatusOK)
	return key
}

func (r *rig) issue(customer string) (key, id string) {
	r.t.Helper()
	r.eventually("a key issued", func() bool {
		issued, err := r.operator(r.vms[0]).IssueKey(context.Background(), customer)
		key, id = issued.Key, issued.ID
		return err == nil
	})
	return key, id
}

// everywhere waits until the key gets the status on every VM.
func (r *rig) everywhere(key string, status int) {
	r.t.Helper()
	for _, v := range r.vms {
		if v.stopped {
			continue
		}
		r.eventually("status on "+v.id, func() bool {
			return call(http.DefaultClient, v, request{path: "/stock/1", key: key}).status == status
		})
	}
}

func TestWholePath(t *testing.T) {
	r := newRig(t, 3, 3)
	key := r.prepare(1000, 1000)

	for _, v := range r.vms {
		a := call(http.DefaultClient, v, request{path: "/stock/7?depot=1", key: key})
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.body, "ran GET /stock/7?depot=1 0")
	}
	refusals := []struct {
		name string
		q    request
		want answer
	}{
		{"no key", request{path: "/stock/1"}, answer{status: 401, kind: "keyMissing", outcome: "notRun"}},
		{"unknown key", request{path: "/stock/1", key: "th.x.y"}, answer{status: 401, kind: "keyUnknown", outcome: "notRun"}},
		{"unknown route", request{path: "/nothing", key: key}, answer{status: 404, kind: "routeUnknown", outcome: "notRun"}},
		{"key in the path", request{path: "/stock/" + key, key: key}, answer{status: 400, kind: "requestMalformed", outcome: "notRun"}},
	}
	for _, c := range refusals {
		a := call(http.DefaultClient, r.vms[1], c.q)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, c.want.status, c.name)
		assert.Equal(t, a.kind, c.want.kind, c.name)
		assert.Equal(t, a.outcome, c.want.outcome, c.name)
	}
	for _, v := range r.vms {
		r.eventually(v.id+" says that it is ready", func() bool { return strings.Contains(v.log.String(), "processReady") })
	}
	open := call(http.DefaultClient, r.vms[2], request{path: "/prices/today"})
	assert.Equal(t, open.status, http.StatusOK, open.body)
	for _, target := range r.targets {
		for _, run := range target.Runs() {
			assert.Assert(t, !run.KeyShown, "a target saw a key: %+v", run)
		}
	}
}

func TestWithdrawnKeyStopsOnKeptConnections(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(1000, 1000)
	second, id := r.issue("depot")
	r.everywhere(second, http.StatusOK)
	kept := &http.Client{}
	assert.Equal(t, call(kept, r.vms[2], request{path: "/stock/1", key: second}).status, http.StatusOK)
	r.eventually("withdrawal taken", func() bool {
		_, err := r.operator(r.vms[1]).WithdrawKey(context.Background(), id)
		return err == nil
	})
	r.eventually("key refused on the kept connection", func() bool {
		return call(kept, r.vms[2], request{path: "/stock/1", key: second}).kind == "keyUnknown"
	})
	r.everywhere(second, http.StatusUnauthorized)
	r.everywhere(key, http.StatusOK)
}

func TestBurstCountsOverAllVMs(t *testing.T) {
	r := newRig(t, 3, 3)
	key := r.prepare(1000, 1000)
	r.apply(r.vms[0], "slow", thconfig.SetCustomer{Customer: thconfig.Customer{
		Name: "depot", Rate: 0.001, Burst: 5, Deployment: "cordial",
	}})
	r.eventually("refused over the burst on every VM", func() bool {
		for _, v := range r.vms {
			if call(http.DefaultClient, v, request{path: "/stock/1", key: key}).kind != "overLimit" {
				return false
			}
		}
		return true
	})
	before := r.runs()
	for range 10 {
		for _, v := range r.vms {
			a := call(http.DefaultClient, v, request{path: "/stock/1", key: key})
			assert.Equal(t, a.status, http.StatusTooManyRequests)
			assert.Equal(t, a.outcome, "notRun")
		}
	}
	assert.Equal(t, r.runs(), before)
}

func (r *rig) runs() int {
	n := 0
	for _, target := range r.targets {
		n += len(target.Runs())
	}
	return n
}

func TestEveryTargetDown(t *testing.T) {
	r := newRig(t, 1, 2)
	key := r.prepare(1000, 1000)
	for _, target := range r.targets {
		target.Close()
	}
	a := call(http.DefaultClient, r.vms[0], request{method: http.MethodPost, path: "/stock/1", key: key, body: "x"})
	assert.NilError(t, a.err)
	assert.Assert(t, a.status >= 500, "status %d", a.status)
	assert.Assert(t, a.kind != "", "a refusal names its kind")
	if a.outcome == "notRun" {
		return
	}
	// An idle connection that the target closed may take the request with it.
	assert.Equal(t, a.outcome, "outcomeUnknown")
}

func TestTerminateCutsNothing(t *testing.T) {
	r := newRig(t, 3, 3)
	key := r.prepare(100000, 100000)
	for _, target := range r.targets {
		target.Behave(thstand.TargetBehaviour{LatencyMillis: 100})
	}
	var stop atomic.Bool
	var mu sync.Mutex
	var broken []answer
	var served atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			for !stop.Load() {
				a := call(c, r.vms[1], request{path: "/stock/1", key: key})
				served.Add(1)
				if a.err != nil || a.status != http.StatusOK {
					mu.Lock()
					broken = append(broken, a)
					mu.Unlock()
				}
				if a.err != nil {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	go func() {
		// The callers stop when the VM is no longer ready, as the balancer's would.
		for call(http.DefaultClient, r.vms[1], request{path: "/-/ready"}).status == http.StatusOK {
			time.Sleep(5 * time.Millisecond)
		}
		stop.Store(true)
	}()
	assert.NilError(t, r.terminate(r.vms[1]))
	stop.Store(true)
	callers.Wait()
	assert.Assert(t, served.Load() > 0)
	assert.Equal(t, len(broken), 0, "%+v", broken)
}
