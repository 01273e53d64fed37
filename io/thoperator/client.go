package thoperator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"time"

	"tamarackhollow/core/thburn"
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

// Client makes operators' calls. A call that fails at one VM is made at the
// next. Make one with NewClient.
type Client struct {
	wire      *thwire.Client
	addresses []string
	random    io.Reader
}

// NewClient returns a client of the VMs whose listeners for operators have the
// addresses. Change IDs and keys are drawn from the system's randomness.
func NewClient(wire *thwire.Client, addresses ...string) *Client {
	return &Client{wire: wire, addresses: addresses, random: rand.Reader}
}

// WithRandom returns a client that draws change IDs and keys from r.
func (c *Client) WithRandom(r io.Reader) *Client {
	n := *c
	n.random = r
	return &n
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
	q := changeRequest{DryRun: true, Record: thconfig.Record{Change: change}}
	return call[changeRequest, ChangeAnswer](ctx, c, pathChange, q)
}

// Apply makes a change. Sending the same request again is safe.
func (c *Client) Apply(ctx context.Context, q ApplyRequest) (ApplyResult, error) {
	a, err := call[changeRequest, ChangeAnswer](ctx, c, pathChange, changeRequest{
		Precondition: q.Precondition,
		Record:       thconfig.Record{ChangeID: q.ChangeID, Change: q.Change},
	})
	return a.ApplyResult, err
}

// ApplyUntilAccepted makes a change and sends it again under the same ID while
// it is only stored, until the context ends. It returns the last answer.
func (c *Client) ApplyUntilAccepted(ctx context.Context, q ApplyRequest) (ApplyResult, error) {
	a, err := c.Apply(ctx, q)
	for err == nil && a.State != StateAccepted && sleep(ctx, acceptedPause) {
		if n, again := c.Apply(ctx, q); again == nil {
			a = n
		}
	}
	return a, err
}

// SetCustomer adds a customer or replaces its parameters.
func (c *Client) SetCustomer(ctx context.Context, u thconfig.Customer) (ApplyResult, error) {
	return c.applyNew(ctx, thconfig.SetCustomer{Customer: u})
}

// IssueKey gives a customer a new key.
func (c *Client) IssueKey(ctx context.Context, customer string) (Issued, error) {
	text, k, err := c.NewKey(customer)
	if err != nil {
		return Issued{}, err
	}
	r, err := c.applyNew(ctx, thconfig.IssueKey{Key: k})
	if err != nil {
		return Issued{}, err
	}
	return Issued{Key: text, ID: k.ID, ApplyResult: r}, nil
}

// WithdrawKey ends a key for good.
func (c *Client) WithdrawKey(ctx context.Context, id string) (ApplyResult, error) {
	return c.applyNew(ctx, thconfig.WithdrawKey{ID: id})
}

// DrainTarget marks a target as leaving, so that it gets no new work.
func (c *Client) DrainTarget(ctx context.Context, service, address string) (ApplyResult, error) {
	return c.applyNew(ctx, thconfig.SetTarget{Service: service, Target: thconfig.Target{Address: address, Leaving: true}})
}

func (c *Client) applyNew(ctx context.Context, change thconfig.Change) (ApplyResult, error) {
	id, err := c.NewChangeID()
	if err != nil {
		return ApplyResult{}, err
	}
	return c.Apply(ctx, ApplyRequest{ChangeID: id, Change: change})
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

// Report returns the report on service-level burn over all VMs.
func (c *Client) Report(ctx context.Context, q thburn.Query) (thburn.Report, error) {
	return call[thburn.Query, thburn.Report](ctx, c, pathReport, q)
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
