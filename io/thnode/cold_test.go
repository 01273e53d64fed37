package thnode_test

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"tamarackhollow/io/thfake"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// A target that says that it is cold must get no more requests than the bound allows, while the
// others serve the rest; operators must see that it is cold.
func TestTargetThatSaysThatItIsColdGetsFewRequests(t *testing.T) {
	g := newFixture(t, 1, 3)
	g.targets[0].SetBehaviour(thfake.TargetBehaviour{LatencyMillis: 2, ColdMillis: "60000"})
	const requests = 150
	for range requests {
		status, _ := g.call(0, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	runs := len(g.targets[0].Runs())
	assert.Assert(t, runs > 0 && runs <= requests/5, "%d of %d requests", runs, requests)

	c := thoperator.NewClient(thwire.NewClient(thwire.ClientOptions{Credential: credential}), g.operators[0])
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := c.Status(ctx)
	assert.NilError(t, err)
	cold := slices.IndexFunc(fleet.VMs[0].Targets, func(s thoperator.TargetStatus) bool { return s.Target == "t0" })
	assert.Assert(t, cold >= 0)
	status := fleet.VMs[0].Targets[cold]
	assert.Assert(t, status.State == "cold" && status.ColdMillis > 30_000, "%+v", status)
}
