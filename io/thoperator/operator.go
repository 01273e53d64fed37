// Package thoperator answers operators' questions about the fleet: how its VMs
// stand, and how fast error budgets burn. Any VM takes any question and asks
// the others for their parts.
package thoperator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/io/thwire"
)

// The calls of operators, and those between VMs that answer them.
const (
	pathReport     = "/report"
	pathStatus     = "/status"
	pathPartReport = "/part/report"
	pathPartStatus = "/part/status"
)

// partTimeout bounds a call to another VM for its part.
const partTimeout = 2 * time.Second

// TargetStatus is a target that does not get ordinary work from a VM.
type TargetStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Address string `json:"address"`
	// State is suspect or leaving.
	State string `json:"state"`
	// BadPerMille is how likely the VM takes the next request to fail there.
	BadPerMille int `json:"badPerMille"`
}

// Status is how one VM stands.
type Status struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// State is ready, not ready, draining, or unreachable.
	State          string `json:"state"`
	TableVersion   uint64 `json:"tableVersion"`
	TargetsVersion uint64 `json:"targetsVersion"`
	// StoreAnswers is whether the VM's last call to the store was answered.
	StoreAnswers bool `json:"storeAnswers"`
	// Reading is whether the VM reads the store for others.
	Reading  bool           `json:"reading"`
	VMsHeard int            `json:"vmsHeard"`
	InFlight int            `json:"inFlight"`
	Targets  []TargetStatus `json:"targets,omitempty"`
}

// Fleet is how all VMs stand, ordered by name.
type Fleet struct {
	VMs []Status `json:"vms"`
}

// Server answers for one VM and gathers the parts of the others.
type Server struct {
	// Status and Report return this VM's part.
	Status func() Status
	Report func() thburn.Report
	// Peers are the other VMs, and Client calls them.
	Peers  func() []thfleet.Identity
	Client *thwire.Client
	// Log is told of VMs that do not answer; nil tells nobody.
	Log thevent.Logger
}

// nothing is the question of a call that asks for all.
type nothing struct{}

// Register adds the operators' calls to one server and those between VMs to
// another.
func (s *Server) Register(operators, peers *thwire.Server) {
	thwire.Handle(peers, pathPartStatus, func(thwire.Sender, nothing) (Status, error) { return s.Status(), nil })
	thwire.Handle(peers, pathPartReport, func(thwire.Sender, nothing) (thburn.Report, error) { return s.Report(), nil })
	thwire.Handle(operators, pathStatus, func(thwire.Sender, nothing) (Fleet, error) { return s.fleet(), nil })
	thwire.Handle(operators, pathReport, func(_ thwire.Sender, q thburn.Query) (thburn.Report, error) { return s.merged(q), nil })
}

func (s *Server) fleet() Fleet {
	others := gather(s, pathPartStatus, func(i thfleet.Identity) Status {
		return Status{VM: i.ID, Zone: i.Zone, State: "unreachable"}
	})
	all := append(others, s.Status())
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.VM, b.VM) })
	return Fleet{VMs: all}
}

func (s *Server) merged(q thburn.Query) thburn.Report {
	others := gather(s, pathPartReport, func(i thfleet.Identity) thburn.Report {
		return thburn.Report{Missing: []string{i.ID}}
	})
	r := thburn.Merge(q, append(others, s.Report()))
	slices.Sort(r.Missing)
	return r
}

// gather asks all other VMs at once. Missing makes the part of one that does
// not answer.
func gather[A any](s *Server, path string, missing func(thfleet.Identity) A) []A {
	peers := s.Peers()
	parts := make([]A, len(peers))
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	var all sync.WaitGroup
	for i, p := range peers {
		all.Go(func() {
			a, err := thwire.Call[nothing, A](ctx, s.Client, p.Address, path, nothing{})
			if err != nil {
				s.noteMissing(p, path, err)
				a = missing(p)
			}
			parts[i] = a
		})
	}
	all.Wait()
	return parts
}

func (s *Server) noteMissing(p thfleet.Identity, path string, err error) {
	if s.Log != nil {
		s.Log.Log(thevent.PeerAsked, thevent.F("peer", p.ID), thevent.F("path", path), thevent.F("error", err.Error()))
	}
}

// Client asks VMs on behalf of an operator.
type Client struct {
	wire      *thwire.Client
	addresses []string
}

// NewClient returns a client that asks the VMs in turn until one answers.
func NewClient(wire *thwire.Client, addresses ...string) *Client {
	return &Client{wire: wire, addresses: addresses}
}

// Status returns how all VMs stand.
func (c *Client) Status(ctx context.Context) (Fleet, error) {
	return ask[nothing, Fleet](ctx, c, pathStatus, nothing{})
}

// Report returns how fast error budgets burn over all VMs.
func (c *Client) Report(ctx context.Context, q thburn.Query) (thburn.Report, error) {
	return ask[thburn.Query, thburn.Report](ctx, c, pathReport, q)
}

func ask[Q, A any](ctx context.Context, c *Client, path string, q Q) (A, error) {
	var a A
	err := error(therror.New(therror.ConnectFailed, "no VM is named"))
	for _, address := range c.addresses {
		if a, err = thwire.Call[Q, A](ctx, c.wire, address, path, q); err == nil || therror.Is(err, therror.CredentialMissing) {
			return a, err
		}
	}
	return a, err
}
