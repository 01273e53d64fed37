package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"tamarackhollow/io/thstand"

	"gotest.tools/v3/assert"
)

// ran counts the runs of an order over all targets.
func (r *rig) ran(order string) int {
	n := 0
	for _, target := range r.targets {
		for _, run := range target.Runs() {
			if run.OrderKey == order {
				n++
			}
		}
	}
	return n
}

// TestOrderResentThroughAllVMsRunsOnce sends each order through every VM at
// the same moment, and once more afterwards.
func TestOrderResentThroughAllVMsRunsOnce(t *testing.T) {
	r := newRig(t, 3, 3)
	key := r.prepare(10000, 10000)
	for _, target := range r.targets {
		target.Behave(thstand.TargetBehaviour{LatencyMillis: 20})
	}
	for i := range 20 {
		order := fmt.Sprintf("order-%d", i)
		q := request{method: http.MethodPost, path: "/stock/order", key: key, order: order, body: `{"pallets":1}`}
		var all sync.WaitGroup
		for _, v := range r.vms {
			all.Go(func() {
				a := call(http.DefaultClient, v, q)
				assert.Check(t, a.status == http.StatusOK || a.outcome == "outcomeUnknown" || a.outcome == "notRun", "%+v", a)
			})
		}
		all.Wait()
		// The answer is recorded shortly after its caller has it; till then a
		// resend is told that the order is running.
		r.eventually("the recorded answer", func() bool {
			again := call(http.DefaultClient, r.vms[i%3], q)
			return again.status == http.StatusOK && again.body == "ran POST /stock/order 13"
		})
		assert.Equal(t, r.ran(order), 1, order)
	}
}

// TestOrderWhoseVMIsKilledRunsOnce kills the VM while a target runs the order;
// the caller sends it again through another.
func TestOrderWhoseVMIsKilledRunsOnce(t *testing.T) {
	r := newRig(t, 3, 3)
	key := r.prepare(10000, 10000)
	for _, target := range r.targets {
		target.Behave(thstand.TargetBehaviour{LatencyMillis: 500})
	}
	q := request{method: http.MethodPost, path: "/stock/order", key: key, order: "killed", body: "x"}
	first := make(chan answer, 1)
	go func() { first <- call(&http.Client{}, r.vms[1], q) }()
	r.eventually("the order reaches a target", func() bool { return r.ran("killed") == 1 })
	r.kill(r.vms[1])
	assert.Assert(t, (<-first).err != nil)
	for range 5 {
		a := call(http.DefaultClient, r.vms[2], q)
		assert.Equal(t, a.outcome, "outcomeUnknown", "%+v", a)
	}
	assert.Equal(t, r.ran("killed"), 1)
}

// TestOrderIsNotRunWhileTheStoreIsGone checks the refusal's truth.
func TestOrderIsNotRunWhileTheStoreIsGone(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(10000, 10000)
	r.platform.SetFaults(thstand.PlatformFaults{Down: true})
	q := request{method: http.MethodPost, path: "/stock/order", key: key, order: "unclaimed", body: "x"}
	a := call(http.DefaultClient, r.vms[0], q)
	assert.Equal(t, a.kind, "claimUnavailable", "%+v", a)
	assert.Equal(t, a.outcome, "notRun")
	assert.Equal(t, r.ran("unclaimed"), 0)
	r.platform.SetFaults(thstand.PlatformFaults{})
	r.eventually("the order runs once the store is back", func() bool {
		return call(http.DefaultClient, r.vms[1], q).status == http.StatusOK
	})
	assert.Equal(t, r.ran("unclaimed"), 1)
}

// TestOrderWithoutKeyIsSentOnce has every target die under the request.
func TestOrderWithoutKeyIsSentOnce(t *testing.T) {
	r := newRig(t, 1, 3)
	key := r.prepare(10000, 10000)
	before := r.runs()
	for _, target := range r.targets {
		target.Behave(thstand.TargetBehaviour{DropShare: 1})
	}
	a := call(http.DefaultClient, r.vms[0], request{method: http.MethodPost, path: "/stock/order", key: key, body: "x"})
	assert.Equal(t, a.outcome, "outcomeUnknown", "%+v", a)
	assert.Equal(t, r.runs(), before+1)
}

// TestSilentConnections makes the open connections to the targets silent, while
// new ones work: requests wait once, and no target is lost.
func TestSilentConnections(t *testing.T) {
	r := newLinkedRig(t, 1, 2)
	key := r.prepare(10000, 10000)
	for range 20 {
		assert.Equal(t, call(http.DefaultClient, r.vms[0], request{path: "/stock/1", key: key}).status, http.StatusOK)
	}
	silenced := 0
	for _, l := range r.targetLinks {
		silenced += l.Silence()
	}
	assert.Assert(t, silenced > 0)
	failed := 0
	for range 40 {
		if call(http.DefaultClient, r.vms[0], request{path: "/stock/1", key: key}).status != http.StatusOK {
			failed++
		}
	}
	// A request that waits on a silent connection may use up its own deadline,
	// once a connection at the most.
	assert.Assert(t, failed <= silenced, "%d of 40 failed with %d silent connections", failed, silenced)
	r.everywhere(key, http.StatusOK)
}

// TestLeavingTargetGetsNoNewWork marks a target as leaving in the three ways
// that there are.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	ways := map[string]func(r *rig){
		"configuration": func(r *rig) {
			r.eventually("drained", func() bool {
				_, err := r.operator(r.vms[0]).DrainTarget(t.Context(), "inventory", r.targets[0].Address())
				return err == nil
			})
		},
		"answers": func(r *rig) { r.targets[0].Behave(thstand.TargetBehaviour{Leaving: true}) },
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, 3)
			key := r.prepare(10000, 10000)
			leave(r)
			quiet := 0
			before := len(r.targets[0].Runs())
			r.eventually("no work for 50 requests in a row", func() bool {
				assert.Equal(t, call(http.DefaultClient, r.vms[quiet%3], request{path: "/stock/1", key: key}).status, http.StatusOK)
				quiet++
				if n := len(r.targets[0].Runs()); n != before {
					before, quiet = n, 0
				}
				return quiet >= 50
			})
		})
	}
}
