package thoperator_test

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"
)

// fakeVM keeps its configuration in memory and can lose answers after the
// change took effect.
type fakeVM struct {
	id     string
	mu     sync.Mutex
	config thconfig.Config
	done   map[string]uint64
	applied,
	lose,
	spreading int
	vms []throster.VM
}

func (f *fakeVM) Config() thconfig.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeVM) Roster() throster.Roster { return throster.NewRoster(1, f.vms) }

func (f *fakeVM) Status() thoperator.Status {
	return thoperator.Status{VM: throster.VM{ID: f.id}, Ready: true, Version: f.Config().Version()}
}

func (f *fakeVM) Apply(_ context.Context, id string, precondition uint64, change thconfig.Change) (thoperator.ApplyResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.done[id]; ok {
		return f.result(v), nil
	}
	if precondition != 0 && precondition != f.config.Version() {
		return thoperator.ApplyResult{}, therror.New(therror.ChangeConflict, "version %d won", f.config.Version())
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
	if f.done == nil {
		f.done = map[string]uint64{}
	}
	f.done[id] = n.Version()
	f.applied++
	if f.lose > 0 {
		f.lose--
		return thoperator.ApplyResult{}, therror.New(therror.StoreOutcomeUnknown, "the store's answer was lost")
	}
	return f.result(n.Version()), nil
}

func (f *fakeVM) result(version uint64) thoperator.ApplyResult {
	if f.spreading > 0 {
		f.spreading--
		return thoperator.ApplyResult{Version: version, State: thoperator.Stored, Acknowledged: 1, Of: 3}
	}
	return thoperator.ApplyResult{Version: version, State: thoperator.Accepted, Acknowledged: 3, Of: 3}
}

const credential = "operators-secret"

// serve starts the operators' side of a VM and returns its two addresses.
func serve(t *testing.T, vm thoperator.VM) (operators, peers string) {
	t.Helper()
	so := &thwire.Server{Credential: credential}
	sp := &thwire.Server{Credential: "peers-secret"}
	s := &thoperator.Server{VM: vm, Peers: thwire.NewClient(thwire.Identity{Credential: "peers-secret", From: "vm"})}
	s.Register(so, sp)
	return listen(t, so), listen(t, sp)
}

func listen(t *testing.T, s *thwire.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { assert.NilError(t, s.Shutdown()) })
	return l.Addr().String()
}

func client(addresses ...string) *thoperator.Client {
	return thoperator.NewClient(addresses, credential, rand.NewChaCha8([32]byte{1}))
}

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func template(t *testing.T, name string) thconfig.PutTemplate {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".toml")
	assert.NilError(t, err)
	return thconfig.PutTemplate{Template: thconfig.Template{Source: string(data)}}
}

func TestLostAnswerIsOneChangeAndEndsAccepted(t *testing.T) {
	vm := &fakeVM{lose: 1, spreading: 2}
	address, _ := serve(t, vm)
	a, err := client(address).Change(within(t), "once", 0, template(t, "teifi"))
	assert.NilError(t, err)
	assert.Equal(t, a.State, thoperator.Accepted)
	assert.Equal(t, vm.applied, 1)
	assert.Equal(t, vm.Config().Version(), uint64(1))
}

func TestChangeGoesToTheNextVM(t *testing.T) {
	vm := &fakeVM{}
	address, _ := serve(t, vm)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = client(gone, address).Change(within(t), "x", 0, template(t, "teifi"))
	assert.NilError(t, err)
	assert.Equal(t, vm.applied, 1)
}

func TestDryRunShowsAndConflictNamesVersion(t *testing.T) {
	vm := &fakeVM{}
	address, _ := serve(t, vm)
	c := client(address)
	_, err := c.Change(within(t), "a", 0, template(t, "teifi"))
	assert.NilError(t, err)
	a, err := c.DryRun(within(t), template(t, "nyabugogo"))
	assert.NilError(t, err)
	assert.Equal(t, len(a.Differences), 1)
	assert.Equal(t, a.Differences[0].Name, "nyabugogo")
	assert.Equal(t, vm.applied, 1)
	_, err = c.Change(within(t), "b", 7, template(t, "nyabugogo"))
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	assert.ErrorContains(t, err, "version 1 won")
}

func TestWrongCredentialIsRefused(t *testing.T) {
	address, _ := serve(t, &fakeVM{})
	c := thoperator.NewClient([]string{address}, "another-secret", rand.NewChaCha8([32]byte{}))
	_, err := c.Status(within(t))
	assert.Assert(t, therror.Is(err, therror.CredentialMissing), "%v", err)
}

func TestFleetListsVMsThatCannotBeAsked(t *testing.T) {
	other := &fakeVM{id: "vm-2"}
	_, peers := serve(t, other)
	vm := &fakeVM{id: "vm-1", vms: []throster.VM{
		{ID: "vm-1"},
		{ID: "vm-2", PeerAddress: peers},
		{ID: "vm-3", PeerAddress: "127.0.0.1:1"},
	}}
	address, _ := serve(t, vm)
	a, err := client(address).Fleet(within(t))
	assert.NilError(t, err)
	assert.Equal(t, len(a.VMs), 3)
	assert.Equal(t, a.VMs[1].VM.ID, "vm-2")
	assert.Equal(t, a.VMs[1].Failure, "")
	assert.Assert(t, a.VMs[2].Failure != "")
}

func TestKeysAreDrawnFromTheGivenSource(t *testing.T) {
	text, k, err := client().NewKey("colleges")
	assert.NilError(t, err)
	again, _, err := client().NewKey("colleges")
	assert.NilError(t, err)
	assert.Equal(t, text, again)
	assert.Assert(t, k.Hash != "" && k.Customer == "colleges")
}
