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
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
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

const credential = "operators-secret"

func TestScripts(t *testing.T) {
	examples, err := os.ReadDir("../../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("TAMARACKHOLLOW_OPERATORS", fleet(t))
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

// part is a VM's report of customers that fare differently.
func part() thburn.Report {
	var l thburn.Recorder
	now := thclock.At(1_000_000 * time.Minute)
	objective := thburn.Objective{Availability: 0.99, LatencyMillis: 100}
	count := func(n int, o thburn.Observation) {
		for range n {
			l.Record(now, o, objective)
		}
	}
	depot := thburn.Observation{Customer: "depot", Service: "stock", Status: 200}
	slow, failed, refused, over := depot, depot, depot, depot
	slow.Latency = time.Second
	failed.Status = 500
	refused.Refused, refused.Kind = true, therror.QueueFull
	over.Refused, over.Kind = true, therror.OverLimit
	count(2000, depot)
	count(250, slow)
	count(245, failed)
	count(3, refused)
	count(2, over)
	count(50, thburn.Observation{Customer: "a<b", Service: "orders", Status: 200})
	return l.Report(now, thburn.Lookup{
		Objective: func(string) thburn.Objective { return objective },
		Rate:      func(string) float64 { return 1000 },
	})
}

// fleet starts two VMs and lists a third that does not answer. It returns the
// operators' address of the first.
func fleet(t *testing.T) string {
	t.Helper()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lost := thfleet.Identity{ID: "vm-3", Zone: "c", Address: gone.Addr().String()}
	assert.NilError(t, gone.Close())
	_, second := vm(t, thoperator.Status{
		VM: "vm-2", Zone: "b", State: "ready", TableVersion: 7,
		Targets: []thoperator.TargetStatus{{Service: "stock", Target: "t-1", Address: "10.0.0.1:80", State: "suspect", BadPerMille: 961}},
	}, nil)
	operators, _ := vm(t, thoperator.Status{VM: "vm-1", Zone: "a", State: "draining", StoreAnswers: true}, []thfleet.Identity{second, lost})
	return operators
}

// vm starts the operators' side of one VM, and returns its address for
// operators and its identity among VMs.
func vm(t *testing.T, s thoperator.Status, others []thfleet.Identity) (string, thfleet.Identity) {
	t.Helper()
	server := thoperator.Server{
		Status: func() thoperator.Status { return s }, Report: part,
		Peers: func() []thfleet.Identity { return others }, Client: thwire.NewClient(thwire.Identity{Credential: credential}),
	}
	operators, peers := &thwire.Server{Credential: credential}, &thwire.Server{Credential: credential}
	server.Register(operators, peers)
	return start(t, operators), thfleet.Identity{ID: s.VM, Zone: s.Zone, Address: start(t, peers)}
}

func start(t *testing.T, s *thwire.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { assert.NilError(t, s.Shutdown()) })
	return l.Addr().String()
}
