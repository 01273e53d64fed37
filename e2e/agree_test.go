package e2e_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thstand"

	"gotest.tools/v3/assert"
)

// withdraw has a key withdrawn through a VM that is not cut off.
func (r *rig) withdraw(v *vm, id string) {
	r.t.Helper()
	r.eventually("withdrawal accepted", func() bool {
		a, err := r.operator(v).WithdrawKey(context.Background(), id)
		return err == nil && a.State == thoperator.StateAccepted || therror.Is(err, therror.ChangeInvalid)
	})
}

// TestFrozenVMDoesNotServeAWithdrawnKey freezes a VM while a key is withdrawn.
// The first request after it wakes must not run.
func TestFrozenVMDoesNotServeAWithdrawnKey(t *testing.T) {
	r := newRig(t, 3, 2)
	r.prepare(1000, 1000)
	second, id := r.issue("depot")
	r.everywhere(second, http.StatusOK)
	kept := &http.Client{}
	assert.Equal(t, call(kept, r.vms[2], request{path: "/stock/1", key: second}).status, http.StatusOK)
	r.freeze(r.vms[2])
	r.withdraw(r.vms[0], id)
	// Longer than a VM may trust what it knew.
	time.Sleep(promisedWithin)
	before := r.runs()
	late := make(chan answer)
	go func() { late <- call(kept, r.vms[2], request{path: "/stock/late", key: second}) }()
	time.Sleep(step)
	r.thaw(r.vms[2])
	a := <-late
	assert.NilError(t, a.err)
	assert.Assert(t, a.status != http.StatusOK, "served a withdrawn key")
	assert.Equal(t, a.outcome, "notRun")
	assert.Equal(t, r.runs(), before)
}

// promisedWithin is how long a withdrawn key may go on working anywhere.
const promisedWithin = 6 * time.Second

// TestIsolatedVMRefusesKeyedRequests cuts all that a VM hears. It must refuse
// truthfully after the promised time, serve open routes, and recover.
func TestIsolatedVMRefusesKeyedRequests(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(1000, 1000)
	second, id := r.issue("depot")
	r.everywhere(second, http.StatusOK)
	r.isolate(r.vms[2])
	r.withdraw(r.vms[0], id)
	time.Sleep(promisedWithin)
	a := call(http.DefaultClient, r.vms[2], request{path: "/stock/1", key: second})
	assert.Equal(t, a.kind, "notFresh", a.body)
	assert.Equal(t, a.outcome, "notRun")
	assert.Equal(t, call(http.DefaultClient, r.vms[2], request{path: "/prices/1"}).status, http.StatusOK)
	assert.Equal(t, call(http.DefaultClient, r.vms[0], request{path: "/stock/1", key: key}).status, http.StatusOK)
	r.heal()
	r.everywhere(key, http.StatusOK)
	r.everywhere(second, http.StatusUnauthorized)
}

// TestVMThatIsHeardButHearsNothing cuts one direction only.
func TestVMThatIsHeardButHearsNothing(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(1000, 1000)
	second, id := r.issue("depot")
	r.everywhere(second, http.StatusOK)
	v := r.vms[2]
	v.store.Cut(thstand.Cuts{Backward: true})
	for _, o := range r.vms[:2] {
		o.link.Cut(thstand.Cuts{Backward: true, Sources: []string{v.ip}})
	}
	r.withdraw(r.vms[0], id)
	time.Sleep(promisedWithin)
	a := call(http.DefaultClient, v, request{path: "/stock/1", key: second})
	assert.Assert(t, a.status != http.StatusOK, "served a withdrawn key")
	assert.Equal(t, a.outcome, "notRun")
	r.heal()
	r.everywhere(key, http.StatusOK)
}

// TestStoreGone takes the store away: the fleet serves on, a restarted VM gets
// its configuration from its peers, and a change is refused clearly.
func TestStoreGone(t *testing.T) {
	for name, faults := range map[string]thstand.PlatformFaults{
		"down": {Down: true},
		"slow": {DelayMillis: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, 2)
			key := r.prepare(1000, 1000)
			r.platform.SetFaults(faults)
			time.Sleep(promisedWithin)
			r.everywhere(key, http.StatusOK)
			r.kill(r.vms[2])
			r.startVM(r.vms[2])
			r.everywhere(key, http.StatusOK)
			_, err := r.operator(r.vms[0]).SetCustomer(context.Background(), thconfig.Customer{Name: "depot", Rate: 7, Burst: 7, Deployment: "cordial"})
			assert.Assert(t, therror.Is(err, therror.StoreUnavailable) || therror.Is(err, therror.StoreOutcomeUnknown), "%v", err)
		})
	}
}

// TestLostStoreAnswers has the store write and then not say so: each change is
// made once all the same.
func TestLostStoreAnswers(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(1000, 1000)
	r.platform.SetFaults(thstand.PlatformFaults{LoseWriteAnswers: true})
	change := thconfig.SetCustomer{Customer: thconfig.Customer{Name: "depot", Rate: 500, Burst: 500, Deployment: "cordial"}}
	r.apply(r.vms[1], "once", change)
	r.platform.SetFaults(thstand.PlatformFaults{})
	first, err := r.operator(r.vms[2]).Apply(context.Background(), thoperator.ApplyRequest{ChangeID: "once", Change: change})
	assert.NilError(t, err)
	again, err := r.operator(r.vms[0]).Apply(context.Background(), thoperator.ApplyRequest{ChangeID: "once", Change: change})
	assert.NilError(t, err)
	assert.Equal(t, first.Version, again.Version)
	r.everywhere(key, http.StatusOK)
}

// TestOperatorsRace has two operators change the same version.
func TestOperatorsRace(t *testing.T) {
	r := newRig(t, 3, 1)
	r.prepare(1000, 1000)
	state, err := r.operator(r.vms[0]).Get(context.Background(), thoperator.Customers, "")
	assert.NilError(t, err)
	results := make(chan error, 2)
	for i, v := range r.vms[:2] {
		go func() {
			u := thconfig.Customer{Name: "depot", Rate: float64(10 + i), Burst: 10, Deployment: "cordial"}
			_, err := r.operator(v).Apply(context.Background(), thoperator.ApplyRequest{
				ChangeID: "race-" + v.id, Precondition: state.Version, Change: thconfig.SetCustomer{Customer: u},
			})
			results <- err
		}()
	}
	var won, lost int
	for range 2 {
		switch err := <-results; {
		case err == nil:
			won++
		case therror.Is(err, therror.ChangeConflict):
			lost++
		default:
			t.Fatal(err)
		}
	}
	assert.Equal(t, won, 1)
	assert.Equal(t, lost, 1)
}

// TestKeyWithdrawnWhileTheRequestWaits holds the only target's slots, has a
// request wait in the queue, withdraws its key and then frees the slots.
func TestKeyWithdrawnWhileTheRequestWaits(t *testing.T) {
	r := newRig(t, 1, 1)
	r.timeoutMillis = int(patience / time.Millisecond)
	key := r.prepare(1000, 1000)
	second, id := r.issue("depot")
	r.everywhere(second, http.StatusOK)
	hold := make(chan struct{})
	r.targets[0].Behave(thstand.TargetBehaviour{Hold: hold})
	before := len(r.targets[0].Runs())
	for range slots {
		go func() { _ = call(&http.Client{}, r.vms[0], request{path: "/stock/1", key: key}) }()
	}
	r.eventually("every slot is taken", func() bool { return len(r.targets[0].Runs()) == before+slots })
	waiting := make(chan answer, 1)
	go func() { waiting <- call(&http.Client{}, r.vms[0], request{path: "/stock/late", key: second}) }()
	r.eventually("the request waits in the VM", func() bool {
		s, err := r.operator(r.vms[0]).Status(context.Background())
		return err == nil && s.InFlight == slots+1
	})
	r.withdraw(r.vms[0], id)
	close(hold)
	a := <-waiting
	assert.Assert(t, a.status != http.StatusOK, "a withdrawn key's request ran: %+v", a)
	assert.Equal(t, a.outcome, "notRun", "%+v", a)
	for _, run := range r.targets[0].Runs() {
		assert.Assert(t, run.URI != "/stock/late")
	}
}
