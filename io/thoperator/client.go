package thoperator

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/io/thwire"
)

const (
	callTimeout   = 10 * time.Second
	repeatPause   = 200 * time.Millisecond
	acceptedPause = 250 * time.Millisecond
	repeats       = 5

	changeIDBytes = 12
	keyIDBytes    = 6
	secretBytes   = 24
)

// Client makes operators' calls. The addresses are of VMs' listeners for
// operators; a call that fails at one is made at the next. Make one with
// NewClient.
type Client struct {
	wire      *thwire.Client
	addresses []string
	random    io.Reader
}

// NewClient returns a client. Change IDs and keys are drawn from random.
func NewClient(addresses []string, credential string, random io.Reader) *Client {
	return &Client{
		wire:      thwire.NewClient(thwire.Identity{Credential: credential, From: "operator"}),
		addresses: addresses,
		random:    random,
	}
}

// NewChangeID returns a fresh name for a change.
func (c *Client) NewChangeID() (string, error) {
	return randomHex(c.random, changeIDBytes)
}

// NewKey returns the clear text of a new key and what is to be stored of it.
// The clear text never leaves the operator's process.
func (c *Client) NewKey(customer string) (string, thconfig.Key, error) {
	id, err := randomHex(c.random, keyIDBytes)
	if err != nil {
		return "", thconfig.Key{}, err
	}
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(c.random, secret); err != nil {
		return "", thconfig.Key{}, err
	}
	text, k := thconfig.NewKey(customer, id, secret)
	return text, k, nil
}

func randomHex(r io.Reader, n int) (string, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return hex.EncodeToString(b), nil
}

// DryRun returns what a change would do.
func (c *Client) DryRun(ctx context.Context, change thconfig.Change) (ChangeAnswer, error) {
	q := ChangeRequest{DryRun: true, Record: thconfig.Record{Change: change}}
	return call[ChangeRequest, ChangeAnswer](ctx, c, pathChange, q)
}

// Change makes a change and sends it again under the same ID as long as its
// answer is lost or only says stored, until the context ends. What is returned
// then is the last answer.
func (c *Client) Change(ctx context.Context, id string, precondition uint64, change thconfig.Change) (ChangeAnswer, error) {
	q := ChangeRequest{Precondition: precondition, Record: thconfig.Record{ChangeID: id, Change: change}}
	a, err := call[ChangeRequest, ChangeAnswer](ctx, c, pathChange, q)
	for err == nil && a.State != Accepted && sleep(ctx, acceptedPause) {
		n, again := call[ChangeRequest, ChangeAnswer](ctx, c, pathChange, q)
		if again == nil {
			a = n
		}
	}
	return a, err
}

// Get returns a part of the configuration.
func (c *Client) Get(ctx context.Context, item Item, name string) (GetAnswer, error) {
	return call[GetRequest, GetAnswer](ctx, c, pathGet, GetRequest{Item: item, Name: name})
}

// Status returns the status of the VM that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[StatusRequest, Status](ctx, c, pathStatus, StatusRequest{})
}

// Fleet returns the status of every VM of the roster.
func (c *Client) Fleet(ctx context.Context) (FleetAnswer, error) {
	return call[StatusRequest, FleetAnswer](ctx, c, pathFleet, StatusRequest{})
}

// call makes a call that is safe to repeat, at one address after the other.
func call[Q, A any](ctx context.Context, c *Client, path string, q Q) (A, error) {
	var a A
	err := error(therror.New(therror.ConnectFailed, "no address of a VM is given"))
	if len(c.addresses) == 0 {
		return a, err
	}
	for i := range repeats * len(c.addresses) {
		a, err = callOnce[Q, A](ctx, c, c.addresses[i%len(c.addresses)], path, q)
		if err == nil || !repeatable(err) || !sleep(ctx, repeatPause) {
			return a, err
		}
	}
	return a, err
}

func callOnce[Q, A any](ctx context.Context, c *Client, address, path string, q Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return thwire.Call[Q, A](ctx, c.wire, address, path, q)
}

// repeatable reports whether the call may do better at another time or address.
func repeatable(err error) bool {
	switch therror.KindOf(err) {
	case therror.ConnectFailed, therror.AnswerLost, therror.AnswerLate, therror.Draining, therror.NotReady,
		therror.StoreUnavailable, therror.StoreOutcomeUnknown:
		return true
	}
	return false
}

// sleep waits and reports whether the context still stands.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
