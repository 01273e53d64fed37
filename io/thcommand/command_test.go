package thcommand_test

import (
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thcommand"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tamarackhollow": func() {
			os.Exit(thcommand.Run(context.Background(), thcommand.System(), os.Args[1:]))
		},
	})
}

// fleet is a VM with its configuration in memory.
type fleet struct {
	changes chan func(*fleet)
	config  thconfig.Config
	done    map[string]uint64
	faults  string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{changes: make(chan func(*fleet)), done: map[string]uint64{}}
	go func() {
		for c := range f.changes {
			c(f)
		}
	}()
	t.Cleanup(func() { close(f.changes) })
	return f
}

// do runs the function on the fleet's only goroutine.
func (f *fleet) do(g func()) {
	done := make(chan struct{})
	f.changes <- func(*fleet) {
		g()
		close(done)
	}
	<-done
}

func (f *fleet) Config() (c thconfig.Config) {
	f.do(func() { c = f.config })
	return c
}

func (f *fleet) Roster() throster.Roster { return throster.Roster{} }

func (f *fleet) Status() thoperator.Status {
	return thoperator.Status{
		VM: throster.VM{ID: "vm-1", Zone: "kigali-a"}, Ready: true, Version: f.Config().Version(),
		Fresh: true, FreshMillis: 2900, StoreAnswers: true, RosterSize: 3, RosterVersion: 4, LimitHomes: 5,
		Targets: []thoperator.TargetStatus{{
			Service: "inventory", Address: "127.0.0.1:19100", State: "ejected", Evidence: "12 of 20 failed",
		}},
	}
}

func (f *fleet) Apply(_ context.Context, id string, precondition uint64, change thconfig.Change) (r thoperator.ApplyResult, err error) {
	f.do(func() { r, err = f.apply(id, precondition, change) })
	return r, err
}

func (f *fleet) apply(id string, precondition uint64, change thconfig.Change) (thoperator.ApplyResult, error) {
	if v, ok := f.done[id]; ok {
		return f.result(v), nil
	}
	switch {
	case f.faults == "gone":
		return thoperator.ApplyResult{}, therror.New(therror.StoreUnavailable, "the store does not answer")
	case f.faults == "race", precondition != 0 && precondition != f.config.Version():
		return thoperator.ApplyResult{}, therror.New(therror.ChangeConflict, "version %d won", f.config.Version()+1)
	}
	r, err := thconfig.NextRecord(f.config, id, change)
	if err != nil {
		return thoperator.ApplyResult{}, err
	}
	n, err := f.config.WithRecord(r)
	if err != nil {
		return thoperator.ApplyResult{}, err
	}
	f.config = n
	f.done[id] = n.Version()
	return f.result(n.Version()), nil
}

func (f *fleet) result(v uint64) thoperator.ApplyResult {
	if f.faults == "split" {
		return thoperator.ApplyResult{Version: v, State: thoperator.StateStored, Acknowledged: 1, Of: 3}
	}
	return thoperator.ApplyResult{Version: v, State: thoperator.StateAccepted, Acknowledged: 3, Of: 3}
}

const credential = "operators-secret"

func TestScripts(t *testing.T) {
	examples, err := os.ReadDir("../../examples")
	assert.NilError(t, err)
	fleets := map[string]*fleet{}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			f := newFleet(t)
			fleets[e.WorkDir] = f
			e.Setenv("TAMARACKHOLLOW_OPERATORS", serve(t, f))
			e.Setenv("TAMARACKHOLLOW_CREDENTIAL", credential)
			for _, x := range examples {
				data, err := os.ReadFile("../../examples/" + x.Name())
				if err != nil {
					return err
				}
				if err := os.WriteFile(e.WorkDir+"/"+x.Name(), data, 0o600); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// fault makes the fleet fail: gone, race, split, or none.
			"fault": func(ts *testscript.TestScript, _ bool, args []string) {
				f := fleets[ts.Getenv("WORK")]
				f.do(func() { f.faults = strings.TrimSuffix(args[0], "none") })
			},
			// code runs a command and compares its exit code.
			"code": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				got := "0"
				if err != nil {
					got = strings.TrimPrefix(err.Error(), "exit status ")
				}
				if got != args[0] {
					ts.Fatalf("exit code %s, not %s", got, args[0])
				}
			},
		},
	})
}

// burning is a report of customers that fare differently.
func burning(_ context.Context, q thburn.Query) thburn.Report {
	const minute = 1_000_000
	var l thburn.Ledger
	now := thclock.At(minute * time.Minute)
	l.Merge(now, thburn.Batch{Source: "vm1", Deltas: []thburn.Delta{{Sequence: 1, Minute: minute, Entries: []thburn.Entry{
		{
			Name:   thburn.Name{Customer: "depot", Service: "stock"},
			Counts: thburn.Counts{Good: 4000, Slow: 500, Failed: 496, WithinRate: 4},
			Kinds:  []thburn.KindCount{{Kind: "queueFull", Count: 3}},
		},
		{Name: thburn.Name{Customer: "a<b", Service: "orders"}, Counts: thburn.Counts{Good: 100}},
	}}}})
	return l.Report(now, q, func(string) thconfig.Objective { return thconfig.Objective{Availability: 0.99, LatencyMillis: 100} })
}

func serve(t *testing.T, f *fleet) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &thwire.Server{Credential: credential}
	o := &thoperator.Server{Fleet: f, Burn: burning}
	o.Register(s)
	s.Start(l)
	t.Cleanup(func() { assert.NilError(t, s.Shutdown()) })
	return l.Addr().String()
}
