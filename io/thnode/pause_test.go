package thnode_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"tamarackhollow/io/thfake"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// requestsInPause is how many requests may reach a target from a VM during a pause that the
// target has asked for.
const requestsInPause = 2

// A target that turns requests away and asks for a pause must get no more of them from the
// VM until the pause ends; the others serve them.
func TestTargetThatAsksForPauseGetsNoRequests(t *testing.T) {
	g := newFixture(t, 1, 3)
	g.targets[0].SetBehaviour(thfake.TargetBehaviour{LatencyMillis: 2, RejectsAll: true, RetryAfter: "30"})
	refused := 0
	for range 150 {
		status, _ := g.call(0, http.MethodGet, "/safe/look", "")
		if status != http.StatusOK {
			refused++
		}
	}
	rejected := g.targets[0].Rejected()
	assert.Assert(t, rejected > 0 && rejected <= 1+requestsInPause, "%d requests", rejected)
	assert.Assert(t, refused <= rejected) // a VM that has just started has no retry budget

	c := thoperator.NewClient(thwire.NewClient(thwire.ClientOptions{Credential: credential}), g.operators[0])
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := c.Status(ctx)
	assert.NilError(t, err)
	paused := slices.IndexFunc(fleet.VMs[0].Targets, func(s thoperator.TargetStatus) bool { return s.Target == "t0" })
	assert.Assert(t, paused >= 0 && fleet.VMs[0].Targets[paused].PausedMillis > 0)
}

// Requests for which all targets have asked for a pause must be refused at once, not tried
// until their deadline.
func TestRequestIsRefusedAtOnceIfAllTargetsAskForPause(t *testing.T) {
	g := newFixture(t, 1, 3)
	for _, target := range g.targets {
		target.SetBehaviour(thfake.TargetBehaviour{RejectsAll: true, RetryAfter: "30"})
	}
	const requests = 40
	startedAt := time.Now()
	for range requests {
		status, _ := g.call(0, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Assert(t, time.Since(startedAt) < requests*100*time.Millisecond)
	for _, target := range g.targets {
		assert.Assert(t, target.Rejected() <= 1+requestsInPause, "%d requests", target.Rejected())
	}
}
