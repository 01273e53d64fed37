package thcommand_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thfake"
	"tamarackhollow/io/thnode"
)

// explainTimeout bounds every wait of the test; only a failing test reaches it.
const explainTimeout = 20 * time.Second

// eventLog holds the lines that a VM has logged, and counts them by event.
type eventLog struct {
	mu     sync.Mutex
	lines  []string
	counts map[thevent.ID]int
}

func (l *eventLog) Log(id thevent.ID, fields ...thevent.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprint(id, fields))
	if l.counts == nil {
		l.counts = map[thevent.ID]int{}
	}
	l.counts[id]++
}

func (l *eventLog) count(id thevent.ID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[id]
}

func (l *eventLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

// explainedVM is a running VM with a target that answers, one that drains, one that is cold, and one
// in an evacuated zone.
type explainedVM struct {
	t                  *testing.T
	log                eventLog
	store              *thfake.Store
	targets            []*thfake.Target
	callers, operators string
}

func explainedTable() thtable.Document {
	d := thtable.Document{
		Version: 1, RequiresKey: true, Limits: thtable.Limits{BodyBytes: 1000},
		Services:  []thtable.Service{{Name: "orders"}, {Name: "warming", ColdRate: 0.001}, {Name: "moved"}},
		Customers: []thtable.Customer{{Name: "open", Keys: []string{"open-secret"}}, {Name: "limited", Keys: []string{"limited-secret"}, Rate: 0.01, Burst: 1, Routes: []string{"orders"}}},
	}
	for _, s := range d.Services {
		d.Routes = append(d.Routes, thtable.Route{
			Name: s.Name, Host: "fleet.example", Prefix: "/" + s.Name + "/", Safety: thtable.Idempotent, MaxAttempts: 2,
			TimeoutMillis: 4000, LatencyObjectiveMillis: 400, Backends: []thtable.Backend{{Service: s.Name, Weight: 1}},
		})
	}
	return d
}

func startExplainedVM(t *testing.T) *explainedVM {
	t.Helper()
	v := &explainedVM{t: t, store: &thfake.Store{}}
	listed := []thtable.Target{
		{ID: "t-good", Service: "orders", Zone: "a", Slots: 4},
		{ID: "t-drains", Service: "orders", Zone: "a", Slots: 4, Draining: true},
		{ID: "t-moved", Service: "orders", Zone: "b", Slots: 4},
		{ID: "t-alone", Service: "moved", Zone: "b", Slots: 4},
		{ID: "t-cold", Service: "warming", Zone: "a", Slots: 4, WarmupMillis: 600_000},
	}
	for i := range listed {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		target := thfake.StartTarget(l, listed[i].ID, thfake.TargetBehaviour{LatencyMillis: 2}, uint64(i))
		t.Cleanup(target.Close)
		v.targets, listed[i].Address = append(v.targets, target), target.Address()
	}
	v.store.PutTable(explainedTable())
	v.store.PutTargets(listed)
	v.store.PutOrders(1, "b")
	addresses, err := thfake.FreeAddresses(4)
	assert.NilError(t, err)
	v.callers, v.operators = addresses[0], addresses[2]
	n, err := thnode.Start(thnode.Options{
		Settings: thsettings.Settings{
			VM:     thsettings.VM{ID: "vm-1", Zone: "a"},
			Listen: thsettings.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2], Metrics: addresses[3]},
			Peers:  thsettings.Peers{Credential: credential}, Operators: thsettings.Operators{Credential: credential},
		},
		Store: v.store, HeaderNames: thmessage.DefaultHeaderNames(), Log: &v.log,
		LiveSettings: thnode.LiveSettings{RetryBudget: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, FloorShare: 0.5, GracePeriod: time.Second},
	})
	assert.NilError(t, err)
	t.Cleanup(n.Stop)
	for until := time.Now().Add(explainTimeout); !n.IsReady() || v.log.count(thevent.ZoneEvacuated) == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VM is not ready: %s", v.log.text())
	}
	return v
}

// send sends a request of the customer with a limit.
func (v *explainedVM) send(number int) {
	v.t.Helper()
	q, err := http.NewRequest(http.MethodGet, "http://"+v.callers+"/orders/1", nil)
	assert.NilError(v.t, err)
	q.Host = "fleet.example"
	q.Header.Set("Authorization", "Bearer limited-secret")
	q.Header.Set(thmessage.DefaultHeaderNames().RequestID, fmt.Sprint("sent-", number))
	a, err := http.DefaultClient.Do(q)
	assert.NilError(v.t, err)
	assert.NilError(v.t, a.Body.Close())
}

// TestExplainCommand checks the command against a running VM. It guards against output and exit codes
// that do not say what the VM would do, against explanations that send something or take a token, and
// against a key in the log.
func TestExplainCommand(t *testing.T) {
	v := startExplainedVM(t)
	run := func(t *testing.T, dir string) {
		t.Helper()
		testscript.Run(t, testscript.Params{
			Dir: "testdata/explain/" + dir,
			Setup: func(e *testscript.Env) error {
				e.Setenv("TAMARACKHOLLOW_OPERATORS", v.operators)
				e.Setenv("TAMARACKHOLLOW_CREDENTIAL", credential)
				return nil
			},
			Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": checkExitCode},
		})
	}
	t.Run("before", func(t *testing.T) { run(t, "before") })
	for i, target := range v.targets {
		assert.Equal(t, len(target.Runs()), 0, "target %d", i)
	}
	assert.Equal(t, v.log.count(thevent.RequestAnswered)+v.log.count(thevent.RequestRefused), 0, "an explanation was logged")
	for i := range 5 { // more than a VM that has just started has tokens for
		v.send(i)
	}
	t.Run("after", func(t *testing.T) { run(t, "after") })
	assert.Assert(t, !strings.Contains(v.log.text(), "secret"))
}
