// Package thplatform is the client of the platform's table service, object
// store and VM list. A platform with another protocol is adapted here.
package thplatform

import (
	"context"
	"sync/atomic"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thwire"
)

// The platform's calls.
const (
	PathReadRow   = "/rows/read"
	PathScanRows  = "/rows/scan"
	PathCommit    = "/rows/commit"
	PathPutObject = "/objects/put"
	PathGetObject = "/objects/get"
	PathListVMs   = "/vms/list"
)

const (
	callTimeout   = 800 * time.Millisecond
	objectTimeout = 3 * time.Second
	// lostAfter failures in a row count as a lost store.
	lostAfter = 3
)

// ReadRow asks for a row.
type ReadRow struct {
	Key string `json:"key"`
}

// ScanRows asks for the rows that follow a key under a prefix.
type ScanRows struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Rows is a list of rows.
type Rows struct {
	Rows []thstore.Row `json:"rows"`
}

// Object is a named object.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// VMs is the platform's list.
type VMs struct {
	VMs []thstore.VM `json:"vms"`
}

// Empty is a message without content.
type Empty struct{}

// Client implements thstore.Platform over HTTP with JSON. Make one with New.
type Client struct {
	wire    *thwire.Client
	address string
	log     thevent.Logger
	calls   atomic.Uint64
	failed  atomic.Int64
}

var _ thstore.Platform = (*Client)(nil)

// New returns a client of the platform at "IP:port".
func New(wire *thwire.Client, address string, log thevent.Logger) *Client {
	return &Client{wire: wire, address: address, log: log}
}

// Calls returns how many calls have been made.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Answers reports whether the store has not been lost.
func (c *Client) Answers() bool { return c.failed.Load() < lostAfter }

// ReadRow returns a row; a missing one has version 0.
func (c *Client) ReadRow(ctx context.Context, key string) (thstore.Row, error) {
	return call[ReadRow, thstore.Row](ctx, c, PathReadRow, ReadRow{Key: key}, callTimeout, read)
}

// ScanRows returns rows in order of their keys.
func (c *Client) ScanRows(ctx context.Context, prefix, after string, limit int) ([]thstore.Row, error) {
	q := ScanRows{Prefix: prefix, After: after, Limit: limit}
	a, err := call[ScanRows, Rows](ctx, c, PathScanRows, q, callTimeout, read)
	return a.Rows, err
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, t thstore.Transaction) error {
	_, err := call[thstore.Transaction, Empty](ctx, c, PathCommit, t, callTimeout, write)
	return err
}

// PutObject stores an object whole.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := call[Object, Empty](ctx, c, PathPutObject, Object{Name: name, Data: data}, objectTimeout, write)
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := call[Object, Object](ctx, c, PathGetObject, Object{Name: name}, objectTimeout, read)
	return a.Data, err
}

// ListVMs returns the platform's list.
func (c *Client) ListVMs(ctx context.Context) ([]thstore.VM, error) {
	a, err := call[Empty, VMs](ctx, c, PathListVMs, Empty{}, callTimeout, read)
	return a.VMs, err
}

// effect says what a call without an answer may have done.
type effect bool

const (
	read  effect = false
	write effect = true
)

func call[Q, A any](ctx context.Context, c *Client, path string, q Q, limit time.Duration, e effect) (A, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a, err := thwire.Call[Q, A](ctx, c.wire, c.address, path, q)
	err = storeError(err, e)
	c.observe(err)
	return a, err
}

// storeError turns a broken call into what it means for the store.
func storeError(err error, e effect) error {
	if err == nil {
		return nil
	}
	switch therror.KindOf(err) {
	case therror.ChangeConflict, therror.NotFound, therror.StoreUnavailable, therror.StoreOutcomeUnknown, therror.CredentialMissing:
		return err
	case therror.ConnectFailed:
		return therror.Wrap(therror.StoreUnavailable, err, "the store cannot be reached")
	}
	if e == write {
		return therror.Wrap(therror.StoreOutcomeUnknown, err, "the store did not say whether it wrote")
	}
	return therror.Wrap(therror.StoreUnavailable, err, "the store did not answer")
}

// observe logs when the store is lost and when it is back.
func (c *Client) observe(err error) {
	if therror.Is(err, therror.StoreUnavailable) || therror.Is(err, therror.StoreOutcomeUnknown) {
		if c.failed.Add(1) == lostAfter {
			c.log.Log(thevent.StoreLost, thevent.F("error", err.Error()))
		}
		return
	}
	if c.failed.Swap(0) >= lostAfter {
		c.log.Log(thevent.StoreRegained)
	}
}
