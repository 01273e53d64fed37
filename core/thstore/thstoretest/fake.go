// Package thstoretest is a platform in memory for tests, with the faults that
// the real one has.
package thstoretest

import (
	"context"
	"slices"
	"sync"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
)

// Fault is what happens to a call.
type Fault uint8

// The faults.
const (
	// Works lets the call through.
	Works Fault = iota
	// Down refuses the call before anything is done.
	Down
	// LosesAnswer does what the call asks and loses the answer.
	LosesAnswer
)

// Fake is a platform in memory. The zero Fake is empty and works.
type Fake struct {
	mu     sync.Mutex
	store  thstore.Memory
	vms    []thstore.VM
	fault  func(call, key string) Fault
	reads  int
	writes int
}

var _ thstore.Platform = (*Fake)(nil)

// SetFault sets what decides each call's fault; nil lets all through. The call
// is named as its method, the key is its row, prefix or object, or the first
// row written.
func (f *Fake) SetFault(fault func(call, key string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SetDown makes every call fail, or none.
func (f *Fake) SetDown(down bool) {
	if !down {
		f.SetFault(nil)
		return
	}
	f.SetFault(func(string, string) Fault { return Down })
}

// SetVMs sets the platform's list.
func (f *Fake) SetVMs(vms []thstore.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.Clone(vms)
}

// Calls returns how many reads and writes came.
func (f *Fake) Calls() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

func (f *Fake) begin(ctx context.Context, call, key string) (Fault, error) {
	if err := ctx.Err(); err != nil {
		return Down, therror.Wrap(therror.StoreUnavailable, err, "%s", call)
	}
	if f.fault == nil {
		return Works, nil
	}
	d := f.fault(call, key)
	if d == Down {
		return d, therror.New(therror.StoreUnavailable, "%s %s", call, key)
	}
	return d, nil
}

func answer(d Fault, call string) error {
	if d == LosesAnswer {
		return therror.New(therror.StoreOutcomeUnknown, "%s: the answer was lost", call)
	}
	return nil
}

// ReadRow returns a row; a missing one has version 0.
func (f *Fake) ReadRow(ctx context.Context, key string) (thstore.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if d, err := f.begin(ctx, "ReadRow", key); err != nil || d != Works {
		return thstore.Row{}, therror.New(therror.StoreUnavailable, "ReadRow %s", key)
	}
	return f.store.Row(key), nil
}

// ScanRows returns rows in order of their keys.
func (f *Fake) ScanRows(ctx context.Context, prefix, after string, limit int) ([]thstore.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if d, err := f.begin(ctx, "ScanRows", prefix); err != nil || d != Works {
		return nil, therror.New(therror.StoreUnavailable, "ScanRows %s", prefix)
	}
	return f.store.Rows(prefix, after, limit), nil
}

// Commit applies a transaction whole or not at all.
func (f *Fake) Commit(ctx context.Context, t thstore.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	key := ""
	if len(t.Writes) > 0 {
		key = t.Writes[0].Key
	}
	d, err := f.begin(ctx, "Commit", key)
	if err != nil {
		return err
	}
	if err := f.store.Commit(t); err != nil {
		return err
	}
	return answer(d, "Commit")
}

// PutObject stores an object whole.
func (f *Fake) PutObject(ctx context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	d, err := f.begin(ctx, "PutObject", name)
	if err != nil {
		return err
	}
	f.store.Put(name, data)
	return answer(d, "PutObject")
}

// GetObject returns an object, or NotFound.
func (f *Fake) GetObject(ctx context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if d, err := f.begin(ctx, "GetObject", name); err != nil || d != Works {
		return nil, therror.New(therror.StoreUnavailable, "GetObject %s", name)
	}
	return f.store.Get(name)
}

// ListVMs returns the list that SetVMs set.
func (f *Fake) ListVMs(ctx context.Context) ([]thstore.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if d, err := f.begin(ctx, "ListVMs", ""); err != nil || d != Works {
		return nil, therror.New(therror.StoreUnavailable, "ListVMs")
	}
	return slices.Clone(f.vms), nil
}
