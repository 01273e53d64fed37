package thnode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thfake"
	"tamarackhollow/io/thnode"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

const (
	// testTimeout bounds every wait of these tests; only a failing test reaches it.
	testTimeout = 20 * time.Second
	credential  = "test-credential"
	host        = "fleet.example"
)

// fixture is a fleet of VMs that forward to the targets of one service.
type fixture struct {
	t     *testing.T
	store *thfake.Store
	// stores holds the store as each VM reaches it.
	stores  []*vmStore
	targets []*thfake.Target
	// links are the network links to the targets, in the same order.
	links []*thfake.Link
	nodes []*thnode.Node
	// callers, operators and metrics are the addresses on which each node serves them.
	callers   []string
	operators []string
	metrics   []string
	// peers are the addresses on which each node serves the other VMs, and seeds those that
	// nodes which start from now on ask first.
	peers, seeds []string
	client       *http.Client
	// sent counts the requests, for their IDs.
	sent int
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// newTable returns a routing table with a route for idempotent and one for other
// requests, and one customer with the keys.
func newTable(version uint64, keys ...string) thtable.Document {
	route := func(name string, safety thtable.Safety) thtable.Route {
		return thtable.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Safety: safety, MaxAttempts: 2,
			TimeoutMillis: 4000, LatencyObjectiveMillis: 400, Backends: []thtable.Backend{{Service: "s", Weight: 1}},
		}
	}
	return thtable.Document{
		Version: version, RequiresKey: true, Services: []thtable.Service{{Name: "s", MaxConnections: 100, ColdRate: 3}},
		Routes:    []thtable.Route{route("safe", thtable.Idempotent), route("once", thtable.AtMostOnce)},
		Customers: []thtable.Customer{{Name: "c", Keys: keys}},
	}
}

// newFixture starts targets, each behind a link that can be stalled, and VMs that
// forward to them, and waits until all VMs are ready.
func newFixture(t *testing.T, vms, targets int) *fixture {
	t.Helper()
	g := &fixture{t: t, store: &thfake.Store{}, client: &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}}
	t.Cleanup(g.client.CloseIdleConnections)
	var listed []thtable.Target
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		target := thfake.StartTarget(listen(t), id, thfake.TargetBehaviour{LatencyMillis: 2}, uint64(i))
		t.Cleanup(target.Close)
		link := thfake.NewLink(listen(t), target.Address())
		t.Cleanup(link.Close)
		g.targets, g.links = append(g.targets, target), append(g.links, link)
		listed = append(listed, thtable.Target{ID: id, Service: "s", Address: link.Address(), Zone: "a", Slots: 4})
	}
	g.store.PutTable(newTable(1, "key"))
	g.store.PutTargets(listed)
	for i := range vms {
		g.start(fmt.Sprintf("vm%d", i))
	}
	g.waitUntil("all VMs are ready", func() bool {
		for _, n := range g.nodes {
			if !n.IsReady() {
				return false
			}
		}
		return true
	})
	return g
}

// start starts a VM in the zone of the targets.
func (g *fixture) start(id string) { g.startIn("a", id) }

// startIn starts a VM in a zone.
func (g *fixture) startIn(zone, id string) {
	g.t.Helper()
	addresses, err := thfake.FreeAddresses(4)
	assert.NilError(g.t, err)
	s := thsettings.Settings{
		VM:        thsettings.VM{ID: id, Zone: zone},
		Listen:    thsettings.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2], Metrics: addresses[3]},
		Peers:     thsettings.Peers{Credential: credential},
		Operators: thsettings.Operators{Credential: credential},
	}
	g.stores = append(g.stores, &vmStore{Store: g.store})
	n, err := thnode.Start(thnode.Options{
		Settings: s, Store: g.stores[len(g.stores)-1], HeaderNames: thmessage.DefaultHeaderNames(), Log: thevent.Discard{},
		LiveSettings: thnode.LiveSettings{RetryBudget: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, FloorShare: 0.5, GracePeriod: time.Second, Seeds: g.seeds},
	})
	assert.NilError(g.t, err)
	g.t.Cleanup(n.Stop)
	g.nodes = append(g.nodes, n)
	g.callers, g.operators = append(g.callers, s.Listen.Callers), append(g.operators, s.Listen.Operators)
	g.metrics, g.peers = append(g.metrics, s.Listen.Metrics), append(g.peers, s.Listen.Peers)
}

// waitUntil waits until the condition holds.
func (g *fixture) waitUntil(what string, holds func() bool) {
	g.t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(g.t, time.Now().Before(until), "timed out waiting until %s", what)
	}
}

// call sends a request to one VM and returns the answer's status and body.
func (g *fixture) call(vm int, method, path, body string) (int, string) {
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

// A non-idempotent request that failed on a target is not retried. So each one that
// reaches the failing target fails, and the VMs must soon avoid that target.
func TestFailingTargetIsAvoided(t *testing.T) {
	g := newFixture(t, 3, 4)
	for i := range 30 {
		status, _ := g.call(i%3, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	g.targets[0].SetBehaviour(thfake.TargetBehaviour{LatencyMillis: 2, FailShare: 1})
	before, failed := len(g.targets[0].Runs()), 0
	for i := range 90 {
		if status, _ := g.call(i%3, http.MethodPost, "/once/order", fmt.Sprint(i)); status != http.StatusOK {
			failed++
		}
	}
	assert.Equal(t, len(g.targets[0].Runs())-before, failed)
	assert.Assert(t, failed <= 6, "%d of 90 failed", failed)
}

// A target accepts requests and never answers: idempotent requests must be
// answered by another target.
func TestHangingTargetFailsNoIdempotentRequest(t *testing.T) {
	g := newFixture(t, 2, 4)
	for i := range 20 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	g.links[0].SetStall(thfake.Stall{Backward: true})
	defer g.links[0].SetStall(thfake.Stall{})
	for i := range 20 {
		status, _ := g.call(i%2, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
}

// All idle connections to the targets stop passing data without being closed, while
// new connections work: idempotent requests must still be answered.
func TestSilentIdleConnectionsFailNoIdempotentRequest(t *testing.T) {
	g := newFixture(t, 1, 2)
	for range 20 {
		status, _ := g.call(0, http.MethodGet, "/safe/warm", "")
		assert.Equal(t, status, http.StatusOK)
	}
	stalled := 0
	for _, l := range g.links {
		stalled += l.StallOpenConnections()
	}
	assert.Assert(t, stalled > 0)
	for range 6 {
		status, body := g.call(0, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK, body)
	}
}

// A caller resends, through all VMs, a request that crashes every target. The VMs
// must quarantine it before it takes down the service, and go on serving other
// requests.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	g := newFixture(t, 3, 6)
	for _, target := range g.targets {
		target.SetBehaviour(thfake.TargetBehaviour{CrashBody: "poison", DownMillis: 100})
	}
	crashes := func() int {
		all := 0
		for _, target := range g.targets {
			all += target.Crashes()
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
	// Six unconfirmed crashes quarantine the request, or three if a refused
	// connection confirms each.
	assert.Assert(t, crashes() <= 6, "%d crashes", crashes())
	for vm := range g.nodes {
		g.waitUntil("all VMs refuse the crashing request", func() bool {
			status, body := g.call(vm, http.MethodPost, "/once/order", "poison")
			return status == http.StatusServiceUnavailable && strings.Contains(body, "quarantined")
		})
		status, _ := g.call(vm, http.MethodPost, "/once/order", "well")
		assert.Equal(t, status, http.StatusOK)
	}
}

// The VMs must go on serving with the table they hold while the store is down, and
// apply what changed in the meantime once it is back.
func TestFleetServesDuringStoreOutageAndAppliesChangesAfterwards(t *testing.T) {
	g := newFixture(t, 3, 3)
	g.store.SetDown(true)
	time.Sleep(1500 * time.Millisecond) // long enough for every VM to have tried to read the store
	for i := range 9 {
		status, _ := g.call(i%3, http.MethodPost, "/once/order", fmt.Sprint(i))
		assert.Equal(t, status, http.StatusOK)
	}
	g.store.PutTable(newTable(2, "another"))
	g.store.SetDown(false)
	for vm := range g.nodes {
		g.waitUntil("the removed key is refused", func() bool {
			status, _ := g.call(vm, http.MethodGet, "/safe/look", "")
			return status == http.StatusUnauthorized
		})
	}
}

// One VM's answer to an operator must include the status and counts of all VMs.
func TestStatusAndReportCoverAllVMs(t *testing.T) {
	g := newFixture(t, 3, 3)
	for i := range 12 {
		status, _ := g.call(i%3, http.MethodGet, "/safe/look", "")
		assert.Equal(t, status, http.StatusOK)
	}
	c := thoperator.NewClient(thwire.NewClient(thwire.ClientOptions{Credential: credential}), g.operators[0])
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.waitUntil("all VMs are live", func() bool {
		fleet, err := c.Status(ctx)
		return err == nil && len(fleet.VMs) == 3 && fleet.VMs[2].State == "ready" && fleet.VMs[0].LiveVMs == 3
	})
	g.waitUntil("the status tells how old each VM's table and targets are", func() bool {
		fleet, err := c.Status(ctx)
		return err == nil && !slices.ContainsFunc(fleet.VMs, func(s thoperator.VMStatus) bool {
			return s.TableAgeMillis > 2000 || s.TargetsAgeMillis > 2000
		})
	})
	r, err := c.Report(ctx, thburn.Query{})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].SeriesKey, thburn.SeriesKey{Customer: "c", Service: "s"})
	assert.Equal(t, r.Rows[0].Windows[2].Counts.Valid(), uint64(12))
}

// A request that comes late in a stop on an open connection may not be finished before the
// process has to end. So no request may be accepted three seconds after the signal.
func TestStopScheduleEndsAcceptanceWithinThreeSeconds(t *testing.T) {
	start := time.Now()
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, time.Minute, time.Hour} {
		s := thnode.NewStopSchedule(start, grace)
		assert.Check(t, s.CloseIdleAt.Sub(start) < 3*time.Second, "grace period %s: idle connections stay open for %s", grace, s.CloseIdleAt.Sub(start))
		assert.Check(t, s.RefuseAt.Sub(start) < 3*time.Second, "grace period %s: requests are passed on for %s", grace, s.RefuseAt.Sub(start))
		assert.Check(t, s.CloseIdleAt.Before(s.RefuseAt), "grace period %s", grace)
		assert.Check(t, s.RefuseAt.Before(s.AbandonAt), "grace period %s", grace)
		assert.Check(t, s.AbandonAt.Before(start.Add(grace)), "grace period %s", grace)
	}
}

// An idle connection must be closed during a stop, long before the grace period ends.
func TestStopClosesIdleConnections(t *testing.T) {
	g := newFixture(t, 1, 1)
	g.nodes[0].ApplyLiveSettings(thnode.LiveSettings{RetryBudget: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, GracePeriod: 10 * testTimeout})
	c, err := net.Dial("tcp", g.callers[0])
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET /safe/look HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key\r\n%s: id-1\r\n\r\n", host, thmessage.DefaultHeaderNames().RequestID)
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	go g.nodes[0].Stop()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A request that is complete late in a stop could be cut off at its target by the end of
// the process, so no target may get it, and its caller must be told that it has not run.
func TestRequestCompleteLateInStopIsNotRun(t *testing.T) {
	const grace = 4 * time.Second
	g := newFixture(t, 1, 1)
	g.nodes[0].ApplyLiveSettings(thnode.LiveSettings{RetryBudget: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, GracePeriod: grace})
	c, err := net.Dial("tcp", g.callers[0])
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /once/order HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key\r\n%s: id-1\r\nContent-Length: 5\r\n\r\nor", host, thmessage.DefaultHeaderNames().RequestID)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // lets the VM begin to read
	start := time.Now()
	go g.nodes[0].Stop()
	time.Sleep(grace * 7 / 10)
	_, err = io.WriteString(c, "der")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < grace)
	assert.Equal(t, len(g.targets[0].Runs()), 0)
}
