package thnode_test

import (
	"net/http"
	"testing"
	"time"

	"tamarackhollow/io/thfake"

	"gotest.tools/v3/assert"
)

// drainBound is the time after which a target that has said that it leaves gets no new
// requests.
const drainBound = 2 * time.Second

// A target that says in its answers that it leaves must get no more requests from the VMs
// that have heard it, though the store's list has it as before and can't be read.
func TestTargetThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	g := newFixture(t, 2, 3)
	g.store.SetDown(true)
	g.targets[0].SetBehaviour(thfake.TargetBehaviour{LatencyMillis: 2, Leaving: true})
	for i := range 60 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, len(g.targets[0].Runs()) > 0)
	time.Sleep(drainBound)
	before := len(g.targets[0].Runs())
	for i := range 60 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, len(g.targets[0].Runs()), before)
}

// A VM that starts is told of such a target, and sends it nothing.
func TestStartingVMLearnsWhichTargetsLeave(t *testing.T) {
	g := newFixture(t, 1, 3)
	g.targets[0].SetBehaviour(thfake.TargetBehaviour{LatencyMillis: 2, Leaving: true})
	for before := -1; before != len(g.targets[0].Runs()) || before == 0; {
		before = len(g.targets[0].Runs())
		for range 20 {
			status, _ := g.call(0, http.MethodGet, "/safe/look", "")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	g.seeds = []string{g.peers[0]}
	g.start("late")
	g.waitUntil("the VM is ready", g.nodes[1].IsReady)
	before := len(g.targets[0].Runs())
	for range 60 {
		status, _ := g.call(1, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, len(g.targets[0].Runs()), before)
}
