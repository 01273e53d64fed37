package thgrant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

func TestPlannedStopHandsOver(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slowRate, Burst: 30}
	g := newRig(t, 5, u)
	waitUntilHome(t, g, u)
	g.forward(24 * time.Hour)
	assert.Equal(t, g.admit(t, u, 10), 10)
	for i := range 3 {
		assert.NilError(t, g.limiters[i].Leave(t.Context()))
		assert.NilError(t, g.servers[i].Shutdown())
	}
	g.limiters = g.limiters[3:]
	assert.Equal(t, g.admit(t, u, 60), 20, "the rest of the burst, and no more")
}

func TestJoiningVMTakesItsPartsOver(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slowRate, Burst: 30}
	g := newRig(t, 2, u)
	waitUntilHome(t, g, u)
	g.forward(24 * time.Hour)
	assert.Equal(t, g.admit(t, u, 10), 10)
	for range 6 {
		g.join(t)
	}
	for _, m := range g.limiters {
		for m.Stats().Joining {
			time.Sleep(time.Millisecond)
		}
	}
	assert.Equal(t, g.admit(t, u, 60), 20, "the rest of the burst, and no more")
}

func (g *rig) join(t *testing.T) {
	t.Helper()
	v := g.start(t)
	r := g.roster.Load().WithVM(v)
	r = throster.NewRoster(r.Version(), r.VMs())
	g.roster.Store(&r)
	m := g.limiters[len(g.limiters)-1]
	for m.Stats().Roster < r.Version() {
		time.Sleep(time.Millisecond)
	}
}
