// Package thoperator serves operators' queries about the fleet: the status of its
// VMs, how fast error budgets burn, and what a VM would do with a request. Any VM
// can answer a query; it asks the other VMs for their status or report and combines
// the results.
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

// Operators call pathReport, pathStatus and pathExplain. The VM that answers calls
// pathPartReport or pathPartStatus of each other VM.
const (
	pathReport     = "/report"
	pathStatus     = "/status"
	pathPartReport = "/part/report"
	pathPartStatus = "/part/status"
)

// partTimeout bounds the calls to other VMs for one query.
const partTimeout = 2 * time.Second

// TargetStatus describes a target to which a VM sends no ordinary requests,
// or few because it is suspect, paused, cold or draining.
type TargetStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Address string `json:"address"`
	// State is "suspect", "paused", "cold", or "leaving" for a draining target.
	State string `json:"state"`
	// FailurePerMille is the VM's estimate of the probability that the next
	// request to the target fails, in thousandths.
	FailurePerMille int `json:"badPerMille"`
	// PausedMillis is how much longer the VM sends the target nothing because it has asked
	// for a pause.
	PausedMillis int64 `json:"pausedMillis,omitempty"`
	// ColdMillis is how much longer the target gets few requests because it is cold.
	ColdMillis int64 `json:"coldMillis,omitempty"`
}

// VMStatus describes the state of one VM.
type VMStatus struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// State is "ready", "not ready", "draining" or "unreachable". For an
	// unreachable VM only VM, Zone and State are set.
	State string `json:"state"`
	// TableVersion and TargetsVersion are the versions of the routing table and
	// of the targets that the VM uses.
	TableVersion   uint64 `json:"tableVersion"`
	TargetsVersion uint64 `json:"targetsVersion"`
	// StoreEra is the era of the store that TargetsVersion belongs to.
	StoreEra uint64 `json:"storeEra"`
	// Evacuated holds the availability zones that are evacuated on the VM, in their order.
	Evacuated []string `json:"evacuated,omitempty"`
	// EvacuationsVersion and EvacuationsEra are the position in the store of the last change of
	// an order to evacuate a zone that the VM knows.
	EvacuationsVersion uint64 `json:"evacuationsVersion"`
	EvacuationsEra     uint64 `json:"evacuationsEra"`
	// StoreAnswers is true if the VM's last call to the store was answered.
	StoreAnswers bool `json:"storeAnswers"`
	// IsReader is true if the VM reads the store on behalf of other VMs.
	IsReader bool `json:"reading"`
	// TableAgeMillis and TargetsAgeMillis are how long ago any VM is known to have read the
	// store for the table and targets that this one holds; 65535 stands for that, longer, or
	// never.
	TableAgeMillis   uint16 `json:"tableAgeMillis"`
	TargetsAgeMillis uint16 `json:"targetsAgeMillis"`
	// LiveVMs counts the VMs that this VM considers live, itself included.
	LiveVMs int `json:"vmsHeard"`
	// InFlight counts the callers' requests in progress.
	InFlight int `json:"inFlight"`
	// Targets lists the targets that are suspect, paused, cold or draining.
	Targets []TargetStatus `json:"targets,omitempty"`
}

// FleetStatus holds the status of each VM, sorted by the VMs' names.
type FleetStatus struct {
	VMs []VMStatus `json:"vms"`
}

// Server answers queries with this VM's status or report and those of its peers.
type Server struct {
	// Status and Report return the status and the report of this VM alone.
	Status func() VMStatus
	Report func() thburn.Report
	// Explain returns what this VM would do with a request.
	Explain func(ExplainQuery) (Explanation, error)
	// Peers returns the other VMs to ask, and Client calls them.
	Peers  func() []thfleet.Identity
	Client *thwire.Client
	// Log receives PeerAsked for each VM that does not answer; nil logs nothing.
	Log thevent.Logger
}

// emptyRequest is the body of a request without parameters.
type emptyRequest struct{}

// Register adds the handlers for operators' calls to one server and those for
// calls between VMs to the other.
func (s *Server) Register(operators, peers *thwire.Server) {
	thwire.Handle(peers, pathPartStatus, func(thwire.Sender, emptyRequest) (VMStatus, error) { return s.Status(), nil })
	thwire.Handle(peers, pathPartReport, func(thwire.Sender, emptyRequest) (thburn.Report, error) { return s.Report(), nil })
	thwire.Handle(operators, pathStatus, func(thwire.Sender, emptyRequest) (FleetStatus, error) { return s.fleetStatus(), nil })
	thwire.Handle(operators, pathExplain, func(_ thwire.Sender, q ExplainQuery) (Explanation, error) { return s.Explain(q) })
	thwire.Handle(operators, pathReport, func(_ thwire.Sender, q thburn.Query) (thburn.Report, error) { return s.mergedReport(q), nil })
}

// fleetStatus returns the status of all VMs. A VM that does not answer is listed
// as unreachable.
func (s *Server) fleetStatus() FleetStatus {
	others := collectParts(s, pathPartStatus, func(i thfleet.Identity) VMStatus {
		return VMStatus{VM: i.ID, Zone: i.Zone, State: "unreachable"}
	})
	all := append(others, s.Status())
	slices.SortFunc(all, func(a, b VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return FleetStatus{VMs: all}
}

// mergedReport returns the report over all VMs. A VM that does not answer is
// listed in Missing.
func (s *Server) mergedReport(q thburn.Query) thburn.Report {
	others := collectParts(s, pathPartReport, func(i thfleet.Identity) thburn.Report {
		return thburn.Report{Missing: []string{i.ID}}
	})
	r := thburn.Merge(q, append(others, s.Report()))
	slices.Sort(r.Missing)
	return r
}

// collectParts calls a path of all peers at once and returns their answers in
// the order of Peers. For a peer that does not answer within partTimeout, it logs
// the error and uses the result of missingPart.
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

// Client sends an operator's queries to VMs.
type Client struct {
	wire      *thwire.Client
	addresses []string
}

// NewClient returns a client that tries the addresses in order until a VM
// answers.
func NewClient(wire *thwire.Client, addresses ...string) *Client {
	return &Client{wire: wire, addresses: addresses}
}

// Status returns the status of all VMs.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	return callFirstAnswering[emptyRequest, FleetStatus](ctx, c, pathStatus, emptyRequest{})
}

// Report returns how fast error budgets burn, with the requests of all VMs.
func (c *Client) Report(ctx context.Context, q thburn.Query) (thburn.Report, error) {
	return callFirstAnswering[thburn.Query, thburn.Report](ctx, c, pathReport, q)
}

// callFirstAnswering calls the addresses in order until one answers or refuses
// the credential. If all fail, it returns the last error.
func callFirstAnswering[Request, Answer any](ctx context.Context, c *Client, path string, request Request) (Answer, error) {
	var answer Answer
	err := error(therror.New(therror.ConnectFailed, "no address of a VM is given"))
	for _, address := range c.addresses {
		if answer, err = thwire.Call[Request, Answer](ctx, c.wire, address, path, request); err == nil || therror.Is(err, therror.CredentialMissing) {
			return answer, err
		}
	}
	return answer, err
}
