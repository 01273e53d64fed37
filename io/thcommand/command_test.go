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

// TestMain makes the command tamarackhollow available to the scripts in testdata.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tamarackhollow": func() {
			os.Exit(thcommand.Run(context.Background(), thcommand.StandardStreams(), os.Args[1:]))
		},
	})
}

const credential = "operators-secret"

// TestScripts runs the scripts in testdata, which check the output and exit codes of
// the operators' subcommands against a fleet with an unreachable VM.
func TestScripts(t *testing.T) {
	examples, err := os.ReadDir("../../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("TAMARACKHOLLOW_OPERATORS", startFleet(t))
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
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": checkExitCode},
	})
}

// checkExitCode implements the script command "code EXITCODE COMMAND…", which runs a command and
// checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

// vmReport returns a VM's report: "depot" has good, slow, failed and refused
// requests, and "a<b", whose name has to be escaped in HTML, has good ones only.
func vmReport() thburn.Report {
	var recorder thburn.Recorder
	now := thclock.At(1_000_000 * time.Minute)
	objective := thburn.Objective{Availability: 0.99, LatencyMillis: 100}
	count := func(n int, o thburn.Observation) {
		for range n {
			recorder.Record(now, o, objective)
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
	return recorder.Report(now, thburn.Lookup{
		Objective: func(string) thburn.Objective { return objective },
		Rate:      func(string) float64 { return 1000 },
	})
}

// startFleet starts two VMs, the first of which also lists a third that does not
// answer. It returns the first VM's address for operators.
func startFleet(t *testing.T) string {
	t.Helper()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := thfleet.Identity{ID: "vm-3", Zone: "c", Address: closed.Addr().String()}
	assert.NilError(t, closed.Close())
	_, second := startVM(t, thoperator.VMStatus{
		VM: "vm-2", Zone: "b", State: "ready", TableVersion: 7,
		Targets: []thoperator.TargetStatus{{Service: "stock", Target: "t-1", Address: "10.0.0.1:80", State: "suspect", FailurePerMille: 961, PausedMillis: 2500, ColdMillis: 4500}},
	}, nil)
	operators, _ := startVM(t, thoperator.VMStatus{VM: "vm-1", Zone: "a", State: "draining", StoreEra: 3, Evacuated: []string{"b", "c"}, EvacuationsVersion: 41, StoreAnswers: true, TableAgeMillis: 1250, TargetsAgeMillis: thfleet.UnknownReadAge}, []thfleet.Identity{second, unreachable})
	return operators
}

// startVM starts the servers of one VM for operators and for other VMs. It returns
// its address for operators and its identity, which has the address for VMs.
func startVM(t *testing.T, s thoperator.VMStatus, others []thfleet.Identity) (string, thfleet.Identity) {
	t.Helper()
	server := thoperator.Server{
		Status: func() thoperator.VMStatus { return s }, Report: vmReport,
		Peers: func() []thfleet.Identity { return others }, Client: thwire.NewClient(thwire.ClientOptions{Credential: credential}),
	}
	operators, peers := &thwire.Server{Credential: credential}, &thwire.Server{Credential: credential}
	server.Register(operators, peers)
	return startServer(t, operators), thfleet.Identity{ID: s.VM, Zone: s.Zone, Address: startServer(t, peers)}
}

func startServer(t *testing.T, s *thwire.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { assert.NilError(t, s.Shutdown()) })
	return l.Addr().String()
}
