package thburns_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thburns"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

// objects is the platform's object store in memory.
type objects struct {
	thstore.Platform
	mu   sync.Mutex
	all  map[string][]byte
	gone bool
}

func (o *objects) PutObject(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return therror.New(therror.StoreUnavailable, "gone")
	}
	if o.all == nil {
		o.all = make(map[string][]byte)
	}
	o.all[name] = data
	return nil
}

func (o *objects) GetObject(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return nil, therror.New(therror.StoreUnavailable, "gone")
	}
	data, ok := o.all[name]
	if !ok {
		return nil, therror.New(therror.NotFound, "no object %s", name)
	}
	return data, nil
}

func (o *objects) setGone(gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = gone
}

// fleet is a few VMs that count.
type fleet struct {
	t      *testing.T
	store  *objects
	mu     sync.Mutex
	roster throster.Roster
	vms    map[string]*vm
}

type vm struct {
	burns  *thburns.Burns
	pool   *thpool.Pool
	server *thwire.Server
}

func (f *fleet) Roster() throster.Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster
}

func (f *fleet) setRoster(change func(throster.Roster) throster.Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster = change(f.roster)
}

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: &objects{}, vms: make(map[string]*vm)}
	for i := range vms {
		f.start(fmt.Sprintf("vm%d", i+1))
	}
	t.Cleanup(func() {
		for id := range f.vms {
			f.kill(id)
		}
	})
	return f
}

func (f *fleet) start(id string) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	self := throster.VM{ID: id, PeerAddress: l.Addr().String(), Zone: "a", Incarnation: uint64(time.Now().UnixNano())}
	f.setRoster(func(r throster.Roster) throster.Roster { return r.WithVM(self) })
	pool, err := thpool.New(4, thevent.Discard{})
	assert.NilError(f.t, err)
	b := thburns.New(thburns.Options{
		Self: self, Config: func() thconfig.Config { return thconfig.Config{} }, Roster: f.Roster, Platform: f.store,
		Client: thwire.NewClient(thwire.Identity{Credential: "peers-secret", From: id}),
	})
	s := &thwire.Server{Credential: "peers-secret"}
	b.Register(s)
	s.Start(l)
	b.Start(pool)
	f.vms[id] = &vm{b, pool, s}
}

// kill ends a VM without any goodbye and takes it off the roster.
func (f *fleet) kill(id string) {
	v := f.vms[id]
	delete(f.vms, id)
	v.pool.Close()
	_ = v.server.Shutdown()
	f.setRoster(func(r throster.Roster) throster.Roster { return r.WithoutVM(id) })
}

// any returns one of the VMs.
func (f *fleet) any() *vm {
	for _, v := range f.vms {
		return v
	}
	return nil
}

const patience = 60 * time.Second

// eventuallyGood waits until a report counts the good requests.
func (f *fleet) eventuallyGood(want uint32) thburn.Report {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		r := f.any().burns.Report(f.t.Context(), thburn.Query{})
		var got uint32
		for _, s := range r.Services {
			got += s.Windows[len(s.Windows)-1].Counts.Good
		}
		if got == want && len(r.Missing) == 0 {
			return r
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("counted %d good requests, not %d; missing %v", got, want, r.Missing)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) record(v *vm, customers, each int) {
	for i := range customers {
		for range each {
			v.burns.Record(thburn.Observation{Customer: fmt.Sprintf("c%d", i), Service: "stock", Status: 200})
		}
	}
}

func TestReportCountsEveryVMAndSurvivesReplacement(t *testing.T) {
	f := newFleet(t, 3)
	for _, v := range f.vms {
		f.record(v, 20, 5)
	}
	f.eventuallyGood(300)
	// A planned stop stores what the VM is the home of.
	assert.NilError(t, f.vms["vm1"].burns.Leave(t.Context()))
	f.kill("vm1")
	f.eventuallyGood(300)
	// What the VMs that are gone had counted is stored by now.
	for _, v := range f.vms {
		assert.NilError(t, v.burns.Leave(t.Context()))
	}
	// A crash loses the home's windows since, but the senders hold their counts.
	f.record(f.vms["vm3"], 20, 5)
	f.eventuallyGood(400)
	f.kill("vm2")
	f.start("vm4")
	f.eventuallyGood(400)
}

func TestStoreOutageKeepsCounting(t *testing.T) {
	f := newFleet(t, 2)
	f.eventuallyGood(0)
	f.store.setGone(true)
	for _, v := range f.vms {
		f.record(v, 10, 10)
	}
	f.eventuallyGood(200)
	assert.ErrorContains(t, f.any().burns.Leave(t.Context()), "gone")
	f.eventuallyGood(200)
}

func TestRefusalsShowTheirKinds(t *testing.T) {
	f := newFleet(t, 1)
	f.eventuallyGood(0)
	v := f.any()
	v.burns.Record(thburn.Observation{Customer: "c", Service: "stock", Refused: true, Kind: therror.QueueFull})
	v.burns.Record(thburn.Observation{Customer: "c", Service: "stock", Refused: true, Kind: therror.OverLimit})
	v.burns.Record(thburn.Observation{Customer: "c", Service: "stock", Status: 200})
	r := f.eventuallyGood(1)
	assert.DeepEqual(t, r.Rows[0].Kinds, []thburn.KindCount{{Kind: "overLimit", Count: 1}, {Kind: "queueFull", Count: 1}})
	assert.Equal(t, r.Rows[0].Windows[0].Counts, thburn.Counts{Good: 1, Refused: 1, OverLimit: 1})
}

func TestNamesBeyondTheBoundAreCountedTogether(t *testing.T) {
	f := newFleet(t, 1)
	f.eventuallyGood(0)
	f.record(f.any(), 50_000, 1)
	r := f.eventuallyGood(50_000)
	assert.Assert(t, len(r.Rows)+r.LeftOut <= 32*1024+32)
}
