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
	// FailurePerMille is how likely the VM takes the next request to fail there.
	FailurePerMille int `json:"badPerMille"`
}

// VMStatus is how one VM stands.
type VMStatus struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// State is ready, not ready, draining, or unreachable.
	State          string `json:"state"`
	TableVersion   uint64 `json:"tableVersion"`
	TargetsVersion uint64 `json:"targetsVersion"`
	// StoreAnswers is whether the VM's last call to the store was answered.
	StoreAnswers bool `json:"storeAnswers"`
	// IsReader is whether the VM reads the store for others.
	IsReader bool           `json:"reading"`
	LiveVMs  int            `json:"vmsHeard"`
	InFlight int            `json:"inFlight"`
	Targets  []TargetStatus `json:"targets,omitempty"`
}

// FleetStatus is how all VMs stand, ordered by name.
type FleetStatus struct {
	VMs []VMStatus `json:"vms"`
}

// Server answers for one VM and gathers the parts of the others.
type Server struct {
	// Status and Report return this VM's part.
	Status func() VMStatus
	Report func() thburn.Report
	// Peers are the other VMs, and Client calls them.
	Peers  func() []thfleet.Identity
	Client *thwire.Client
	// Log is told of VMs that do not answer; nil tells nobody.
	Log thevent.Logger
}

// emptyRequest is the question of a call that asks for all.
type emptyRequest struct{}

// Register adds the operators' calls to one server and those between VMs to
// another.
func (s *Server) Register(operators, peers *thwire.Server) {
	thwire.Handle(peers, pathPartStatus, func(thwire.Sender, emptyRequest) (VMStatus, error) { return s.Status(), nil })
	thwire.Handle(peers, pathPartReport, func(thwire.Sender, emptyRequest) (thburn.Report, error) { return s.Report(), nil })
	thwire.Handle(operators, pathStatus, func(thwire.Sender, emptyRequest) (FleetStatus, error) { return s.fleetStatus(), nil })
	thwire.Handle(operators, pathReport, func(_ thwire.Sender, q thburn.Query) (thburn.Report, error) { return s.mergedReport(q), nil })
}

func (s *Server) fleetStatus() FleetStatus {
	others := collectParts(s, pathPartStatus, func(i thfleet.Identity) VMStatus {
		return VMStatus{VM: i.ID, Zone: i.Zone, State: "unreachable"}
	})
	all := append(others, s.Status())
	slices.SortFunc(all, func(a, b VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return FleetStatus{VMs: all}
}

func (s *Server) mergedReport(q thburn.Query) thburn.Report {
	others := collectParts(s, pathPartReport, func(i thfleet.Identity) thburn.Report {
		return thburn.Report{Missing: []string{i.ID}}
	})
	r := thburn.Merged(q, append(others, s.Report()))
	slices.Sort(r.Missing)
	return r
}

// collectParts asks all other VMs at once. Missing makes the part of one that does
// not answer.
func collectParts[Part any](s *Server, path string, missingPart func(thfleet.Identity) Part) []Part {
	peers := s.Peers()
	parts := make([]Part, len(peers))
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() {
			part, err := thwire.Call[emptyRequest, Part](ctx, s.Client, p.Address, path, emptyRequest{})
			if err != nil {
				s.logMissing(p, path, err)
				part = missingPart(p)
			}
			parts[i] = part
		})
	}
	calls.Wait()
	return parts
}

func (s *Server) logMissing(p thfleet.Identity, path string, err error) {
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
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	return callFirstAnswering[emptyRequest, FleetStatus](ctx, c, pathStatus, emptyRequest{})
}

// Report returns how fast error budgets burn over all VMs.
func (c *Client) Report(ctx context.Context, q thburn.Query) (thburn.Report, error) {
	return callFirstAnswering[thburn.Query, thburn.Report](ctx, c, pathReport, q)
}

func callFirstAnswering[Request, Answer any](ctx context.Context, c *Client, path string, request Request) (Answer, error) {
	var answer Answer
	err := error(therror.New(therror.ConnectFailed, "no VM is named"))
	for _, address := range c.addresses {
		if answer, err = thwire.Call[Request, Answer](ctx, c.wire, address, path, request); err == nil || therror.Is(err, therror.CredentialMissing) {
			return answer, err
		}
	}
	return answer, err
}
