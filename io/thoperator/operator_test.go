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
		return thoperator.ApplyResult{Version: version, State: thoperator.StateStored, Acknowledged: 1, Of: 3}
	}
	return thoperator.ApplyResult{Version: version, State: thoperator.StateAccepted, Acknowledged: 3, Of: 3}
}

const credential = "operators-secret"

// serve starts the operators' side of a VM and returns its two addresses.
func serve(t *testing.T, vm thoperator.Fleet) (operators, peers string) {
	t.Helper()
	so := &thwire.Server{Credential: credential}
	sp := &thwire.Server{Credential: "peers-secret"}
	s := &thoperator.Server{Fleet: vm, Peers: thwire.NewClient(thwire.Identity{Credential: "peers-secret", From: "vm"})}
	s.Register(so)
	s.RegisterPeers(sp)
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
	wire := thwire.NewClient(thwire.Identity{Credential: credential, From: "operator"})
	return thoperator.NewClient(wire, addresses...).WithRandom(rand.NewChaCha8([32]byte{1}))
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
	a, err := client(address).ApplyUntilAccepted(within(t), thoperator.ApplyRequest{ChangeID: "once", Change: template(t, "teifi")})
	assert.NilError(t, err)
	assert.Equal(t, a.State, thoperator.StateAccepted)
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
	_, err = client(gone, address).Apply(within(t), thoperator.ApplyRequest{ChangeID: "x", Change: template(t, "teifi")})
	assert.NilError(t, err)
	assert.Equal(t, vm.applied, 1)
}

func TestDryRunShowsAndConflictNamesVersion(t *testing.T) {
	vm := &fakeVM{}
	address, _ := serve(t, vm)
	c := client(address)
	_, err := c.Apply(within(t), thoperator.ApplyRequest{ChangeID: "a", Change: template(t, "teifi")})
	assert.NilError(t, err)
	a, err := c.DryRun(within(t), template(t, "nyabugogo"))
	assert.NilError(t, err)
	assert.Equal(t, len(a.Differences), 1)
	assert.Equal(t, a.Differences[0].Name, "nyabugogo")
	assert.Equal(t, vm.applied, 1)
	_, err = c.Apply(within(t), thoperator.ApplyRequest{ChangeID: "b", Precondition: 7, Change: template(t, "nyabugogo")})
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	assert.ErrorContains(t, err, "version 1 won")
}

func TestWrongCredentialIsRefused(t *testing.T) {
	address, _ := serve(t, &fakeVM{})
	c := thoperator.NewClient(thwire.NewClient(thwire.Identity{Credential: "another-secret"}), address)
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

func TestIssuedKeyWorksUntilWithdrawn(t *testing.T) {
	vm := &fakeVM{}
	address, _ := serve(t, vm)
	c := client(address)
	_, err := c.Apply(within(t), thoperator.ApplyRequest{ChangeID: "d", Change: thconfig.PutDeployment{
		Deployment: thconfig.Deployment{Name: "teifi"},
	}})
	assert.NilError(t, err)
	_, err = c.SetCustomer(within(t), thconfig.Customer{Name: "colleges", Rate: 1, Burst: 1, Deployment: "teifi"})
	assert.NilError(t, err)
	issued, err := c.IssueKey(within(t), "colleges")
	assert.NilError(t, err)
	u, ok := vm.Config().Authenticate(issued.Key)
	assert.Assert(t, ok && u.Name == "colleges")
	_, err = c.WithdrawKey(within(t), issued.ID)
	assert.NilError(t, err)
	_, ok = vm.Config().Authenticate(issued.Key)
	assert.Assert(t, !ok)
}
