// Package thstand holds small stand-ins for what the fleet works with: the
// platform, targets, and a network link that can be cut. The demo and the
// tests use them.
package thstand

import (
	"net"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thplatform"
	"tamarackhollow/io/thwire"
)

// Platform is a stand-in for the platform: tables, objects and the VM list in
// memory. The zero Platform is empty and without faults.
type Platform struct {
	mu     sync.Mutex
	store  thstore.Memory
	vms    []thstore.VM
	faults PlatformFaults
	reads  int
	writes int
	server thwire.Server
}

// PlatformFaults are the faults that a platform shows.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// LoseWriteAnswers does the write and then does not say so.
	LoseWriteAnswers bool
	// DelayMillis is added to every call, in milliseconds.
	DelayMillis int
	// FailEvery refuses every n-th call; 0 refuses none.
	FailEvery int
}

// Start serves on the listener with the credential until Close.
func (p *Platform) Start(l net.Listener, credential string) {
	p.server.Credential = credential
	thwire.Handle(&p.server, thplatform.PathReadRow, p.readRow)
	thwire.Handle(&p.server, thplatform.PathScanRows, p.scanRows)
	thwire.Handle(&p.server, thplatform.PathCommit, p.commit)
	thwire.Handle(&p.server, thplatform.PathPutObject, p.putObject)
	thwire.Handle(&p.server, thplatform.PathGetObject, p.getObject)
	thwire.Handle(&p.server, thplatform.PathListVMs, p.listVMs)
	p.server.Start(l)
}

// Close stops serving.
func (p *Platform) Close() { _ = p.server.Shutdown() }

// SetFaults sets the faults from now on.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs sets the VM list.
func (p *Platform) SetVMs(vms []thstore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// begin applies the faults that come before a call.
func (p *Platform) begin(write bool) error {
	p.mu.Lock()
	f := p.faults
	if write {
		p.writes++
	} else {
		p.reads++
	}
	n := p.reads + p.writes
	p.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Down || f.FailEvery > 0 && n%f.FailEvery == 0 {
		return therror.New(therror.StoreUnavailable, "the stand-in is down")
	}
	return nil
}

// end applies the faults that come after a write.
func (p *Platform) end() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWriteAnswers {
		return therror.New(therror.StoreOutcomeUnknown, "the stand-in lost its answer")
	}
	return nil
}

func (p *Platform) readRow(_ thwire.Sender, q thplatform.ReadRow) (thstore.Row, error) {
	if err := p.begin(false); err != nil {
		return thstore.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Row(q.Key), nil
}

func (p *Platform) scanRows(_ thwire.Sender, q thplatform.ScanRows) (thplatform.Rows, error) {
	if err := p.begin(false); err != nil {
		return thplatform.Rows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return thplatform.Rows{Rows: p.store.Rows(q.Prefix, q.After, q.Limit)}, nil
}

func (p *Platform) commit(_ thwire.Sender, t thstore.Transaction) (thplatform.Empty, error) {
	if err := p.begin(true); err != nil {
		return thplatform.Empty{}, err
	}
	if err := p.apply(t); err != nil {
		return thplatform.Empty{}, err
	}
	return thplatform.Empty{}, p.end()
}

func (p *Platform) apply(t thstore.Transaction) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Commit(t)
}

func (p *Platform) putObject(_ thwire.Sender, o thplatform.Object) (thplatform.Empty, error) {
	if err := p.begin(true); err != nil {
		return thplatform.Empty{}, err
	}
	p.mu.Lock()
	p.store.Put(o.Name, o.Data)
	p.mu.Unlock()
	return thplatform.Empty{}, p.end()
}

func (p *Platform) getObject(_ thwire.Sender, o thplatform.Object) (thplatform.Object, error) {
	if err := p.begin(false); err != nil {
		return thplatform.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := p.store.Get(o.Name)
	if err != nil {
		return thplatform.Object{}, err
	}
	return thplatform.Object{Name: o.Name, Data: data}, nil
}

func (p *Platform) listVMs(thwire.Sender, thplatform.Empty) (thplatform.VMs, error) {
	if err := p.begin(false); err != nil {
		return thplatform.VMs{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return thplatform.VMs{VMs: slices.Clone(p.vms)}, nil
}
