package thnode_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thnode"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thstand"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

const (
	// patience bounds every wait of these tests; it is reached only by a failure.
	patience   = 20 * time.Second
	credential = "test-credential"
	host       = "fleet.example"
)

// rig is a fleet of VMs before targets of one service.
type rig struct {
	t         *testing.T
	store     *thstand.Store
	targets   []*thstand.Target
	links     []*thstand.Link
	nodes     []*thnode.Node
	callers   []string
	operators []string
	client    *http.Client
	sent      int
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func table(version uint64, keys ...string) thtable.Document {
	route := func(name string, safety thtable.Safety) thtable.Route {
		return thtable.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Safety: safety, MaxAttempts: 2,
			TimeoutMillis: 4000, LatencyObjectiveMillis: 400, Backends: []thtable.Backend{{Service: "s", Weight: 1}},
		}
	}
	return thtable.Document{
		Version: version, RequiresKey: true, Services: []thtable.Service{{Name: "s", MaxConnections: 100}},
		Routes:    []thtable.Route{route("safe", thtable.Idempotent), route("once", thtable.AtMostOnce)},
		Customers: []thtable.Customer{{Name: "c", Keys: keys}},
	}
}

// newRig starts VMs before targets, each behind a link that can be cut.
func newRig(t *testing.T, vms, targets int) *rig {
	t.Helper()
	g := &rig{t: t, store: &thstand.Store{}, client: &http.Client{Timeout: patience, Transport: &http.Transport{}}}
	t.Cleanup(g.client.CloseIdleConnections)
	var listed []thtable.Target
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		target := thstand.StartTarget(listen(t), id, thstand.TargetBehaviour{LatencyMillis: 2}, uint64(i))
		t.Cleanup(target.Close)
		link := thstand.NewLink(listen(t), target.Address())
		t.Cleanup(link.Close)
		g.targets, g.links = append(g.targets, target), append(g.links, link)
		listed = append(listed, thtable.Target{ID: id, Service: "s", Address: link.Address(), Zone: "a", Slots: 4})
	}
	g.store.PutTable(table(1, "key"))
	g.store.PutTargets(listed)
	for i := range vms {
		g.start(fmt.Sprintf("vm%d", i))
	}
	g.await("all VMs are ready", func() bool {
		for _, n := range g.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	return g
}

func (g *rig) start(id string) {
	g.t.Helper()
	s := thsettings.Settings{
		VM:        thsettings.VM{ID: id, Zone: "a"},
		Listen:    thsettings.Listen{Callers: freeAddress(g.t), Peers: freeAddress(g.t), Operators: freeAddress(g.t)},
		Peers:     thsettings.Peers{Credential: credential},
		Operators: thsettings.Operators{Credential: credential},
	}
	n, err := thnode.Start(thnode.Options{
		Settings: s, Store: g.store, Names: thmessage.DefaultHeaderNames(), Log: thevent.Discard{},
		Rules: thnode.Rules{Budget: thpick.BudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, FloorShare: 0.5, Grace: time.Second},
	})
	assert.NilError(g.t, err)
	g.t.Cleanup(n.Stop)
	g.nodes = append(g.nodes, n)
	g.callers, g.operators = append(g.callers, s.Listen.Callers), append(g.operators, s.Listen.Operators)
}

// await waits until the condition holds.
func (g *rig) await(what string, holds func() bool) {
	g.t.Helper()
	for until := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(g.t, time.Now().Before(until), "waited for: %s", what)
	}
}

// call makes a request at one VM, and returns the answer's status and body.
func (g *rig) call(vm int, method, path, body string) (int, string) {
	g.t.Helper()
	g.sent++
	q, err := http.NewRequest(method, "http://"+g.callers[vm]+path, strings.NewReader(body))
	assert.NilError(g.t, err)
	q.Host = host
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(thmessage.DefaultHeaderNames().RequestID, fmt.Sprintf("%s-%d", g.t.Name(), g.sent))
	a, err := g.client.Do(q)
	assert.NilError(g.t, err)
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	assert.NilError(g.t, err)
	return a.StatusCode, string(text)
}

func TestATargetThatFailsLosesItsWork(t *testing.T) {
	g := newRig(t, 3, 4)
	for i := range 30 {
		status, _ := g.call(i%3, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	g.targets[0].Behave(thstand.TargetBehaviour{LatencyMillis: 2, FailShare: 1})
	before, failed := len(g.targets[0].Runs()), 0
	for i := range 90 {
		if status, _ := g.call(i%3, http.MethodPost, "/once/order", fmt.Sprint(i)); status != http.StatusOK {
			failed++
		}
	}
	assert.Equal(t, len(g.targets[0].Runs())-before, failed)
	assert.Assert(t, failed <= 6, "%d of 90 failed", failed)
}

func TestATargetThatHangsCostsNoIdempotentRequest(t *testing.T) {
	g := newRig(t, 2, 4)
	for i := range 20 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	g.links[0].Cut(thstand.Cuts{Backward: true})
	defer g.links[0].Cut(thstand.Cuts{})
	for i := range 20 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
}

func TestConnectionsThatWentSilentCostNoIdempotentRequest(t *testing.T) {
	g := newRig(t, 1, 2)
	for range 20 {
		status, _ := g.call(0, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	silenced := 0
	for _, l := range g.links {
		silenced += l.Silence()
	}
	assert.Assert(t, silenced > 0)
	for range 6 {
		status, body := g.call(0, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK, body)
	}
}

// TestARequestThatCrashesItsTargetsIsRefused sends it through all VMs, with
// others beside it, until it is refused.
func TestARequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	g := newRig(t, 3, 6)
	for _, target := range g.targets {
		target.Behave(thstand.TargetBehaviour{DiesOf: "poison", DownMillis: 100})
	}
	deaths := func() int {
		all := 0
		for _, target := range g.targets {
			all += target.Deaths()
		}
		return all
	}
	last := ""
	for i := 0; i < 40 && !strings.Contains(last, "quarantined"); i++ {
		_, last = g.call(i%3, http.MethodPost, "/once/order", "poison")
		for j := range 6 {
			g.call((i+j)%3, http.MethodGet, "/safe/look", "")
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, strings.Contains(last, "quarantined"), last)
	// Six cuts are enough, three if the target is seen to refuse connections.
	assert.Assert(t, deaths() <= 6, "%d deaths", deaths())
	for vm := range g.nodes {
		g.await("all VMs refuse it", func() bool {
			status, body := g.call(vm, http.MethodPost, "/once/order", "poison")
			return status == http.StatusServiceUnavailable && strings.Contains(body, "quarantined")
		})
		status, _ := g.call(vm, http.MethodPost, "/once/order", "well")
		assert.Equal(t, status, http.StatusOK)
	}
}

func TestTheFleetServesOnWithoutTheStoreAndFollowsItAfterwards(t *testing.T) {
	g := newRig(t, 3, 3)
	g.store.SetDown(true)
	time.Sleep(1500 * time.Millisecond) // every VM has tried to read it meanwhile
	for i := range 9 {
		status, _ := g.call(i%3, http.MethodPost, "/once/order", fmt.Sprint(i))
		assert.Equal(t, status, http.StatusOK)
	}
	g.store.PutTable(table(2, "another"))
	g.store.SetDown(false)
	for vm := range g.nodes {
		g.await("the withdrawn key is refused", func() bool {
			status, _ := g.call(vm, http.MethodGet, "/safe/look", "")
			return status == http.StatusUnauthorized
		})
	}
}

func TestStatusAndReportOverAllVMs(t *testing.T) {
	g := newRig(t, 3, 3)
	for i := range 12 {
		status, _ := g.call(i%3, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	c := thoperator.NewClient(thwire.NewClient(thwire.Identity{Credential: credential}), g.operators[0])
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	g.await("all VMs are heard", func() bool {
		f, err := c.Status(ctx)
		return err == nil && len(f.VMs) == 3 && f.VMs[2].State == "ready" && f.VMs[0].VMsHeard == 3
	})
	r, err := c.Report(ctx, thburn.Query{})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].SeriesKey, thburn.SeriesKey{Customer: "c", Service: "s"})
	assert.Equal(t, r.Rows[0].Windows[2].Counts.Valid(), uint64(12))
}
