// Package thstore is the platform as the decision code sees it: a
// transactional table service, an object store and a lagging list of VMs.
package thstore

import "context"

// Row is one row of a table. A row that does not exist has version 0.
type Row struct {
	Key string `json:"key"`
	// Version grows by one at each write of the row.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition requires a row to stand at a version for a transaction to commit.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that happen together if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// VM is an entry of the platform's list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Platform is the platform's table service, object store and VM list. Every
// method fails with StoreUnavailable when nothing was done, and a write fails
// with StoreOutcomeUnknown when it may have taken effect.
type Platform interface {
	// ReadRow returns a row; a missing one has version 0.
	ReadRow(ctx context.Context, key string) (Row, error)
	// ScanRows returns at most limit rows whose keys begin with prefix and lie
	// after the given key, in order of their keys.
	ScanRows(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction, or fails with ChangeConflict if a
	// condition does not hold.
	Commit(ctx context.Context, t Transaction) error
	// PutObject stores an object whole.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or NotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListVMs returns the platform's list, which lags.
	ListVMs(ctx context.Context) ([]VM, error)
}
