package thoperator

import (
	"context"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thdiff"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thtemplate"
	"tamarackhollow/io/thwire"

	"golang.org/x/sync/errgroup"
)

// Fleet is the fleet as the VM that the operators' side stands on sees it.
type Fleet interface {
	Config() thconfig.Config
	Roster() throster.Roster
	// Apply makes the change once per change ID. It fails with ChangeConflict
	// if the configuration has passed the precondition, unless it is 0.
	Apply(ctx context.Context, changeID string, precondition uint64, change thconfig.Change) (ApplyResult, error)
	Status() Status
}

const (
	applyTimeout  = 8 * time.Second
	statusTimeout = time.Second
	fleetParallel = 32
)

// Server answers operators' calls. Fleet must be set.
type Server struct {
	Fleet Fleet
	// Peers asks the other VMs for their status; without it a VM only knows its own.
	Peers *thwire.Client
	// Burn makes the report on service-level burn; without it there is none.
	Burn func(context.Context, thburn.Query) thburn.Report
}

// Register adds the operators' calls to a server.
func (s *Server) Register(operators *thwire.Server) {
	thwire.Handle(operators, pathChange, s.change)
	thwire.Handle(operators, pathGet, s.get)
	thwire.Handle(operators, pathStatus, s.status)
	thwire.Handle(operators, pathFleet, s.fleet)
	thwire.Handle(operators, pathReport, s.report)
}

// RegisterPeers adds the calls by which VMs ask each other for their status.
func (s *Server) RegisterPeers(peers *thwire.Server) {
	thwire.Handle(peers, pathPeer, s.status)
}

func (s *Server) change(_ thwire.Sender, q changeRequest) (ChangeAnswer, error) {
	if q.DryRun {
		return dryRun(s.Fleet.Config(), q)
	}
	if q.Record.ChangeID == "" {
		return ChangeAnswer{}, therror.New(therror.ChangeInvalid, "a change needs a changeId")
	}
	c := s.Fleet.Config()
	change, err := thtemplate.Prepare(c, q.Record.Change)
	if err != nil {
		return ChangeAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	r, err := s.Fleet.Apply(ctx, q.Record.ChangeID, q.Precondition, change)
	if err != nil {
		return ChangeAnswer{}, err
	}
	return ChangeAnswer{ApplyResult: r, Base: c.Version()}, nil
}

// dryRun says what the change would do to c.
func dryRun(c thconfig.Config, q changeRequest) (ChangeAnswer, error) {
	if err := c.CheckPrecondition(q.Precondition); err != nil {
		return ChangeAnswer{}, err
	}
	change, err := thtemplate.Prepare(c, q.Record.Change)
	if err != nil {
		return ChangeAnswer{}, err
	}
	r, err := thconfig.NextRecord(c, q.Record.ChangeID, change)
	if err != nil {
		return ChangeAnswer{}, err
	}
	n, err := c.WithRecord(r)
	if err != nil {
		return ChangeAnswer{}, err
	}
	return ChangeAnswer{
		ApplyResult: ApplyResult{Version: n.Version(), State: StateChecked},
		Base:        c.Version(),
		Differences: thdiff.Between(c, n),
	}, nil
}

func (s *Server) get(_ thwire.Sender, q GetRequest) (GetAnswer, error) {
	c := s.Fleet.Config()
	a := GetAnswer{Version: c.Version()}
	var found int
	switch q.Item {
	case Templates:
		a.Templates = named(c.Templates(), q.Name, func(t thconfig.Template) string { return t.Name })
		found = len(a.Templates)
	case Deployments:
		a.Deployments = named(c.Deployments(), q.Name, func(d thconfig.Deployment) string { return d.Name })
		found = len(a.Deployments)
	case Services:
		a.Services = named(c.Services(), q.Name, func(v thconfig.Service) string { return v.Name })
		found = len(a.Services)
	case Routes:
		a.Routes = named(c.Routes(), q.Name, func(r thconfig.Route) string { return r.Name })
		found = len(a.Routes)
	case Customers:
		a.Customers = named(c.Customers(), q.Name, func(u thconfig.Customer) string { return u.Name })
		found = len(a.Customers)
	case Keys:
		a.Keys = named(c.Keys(), q.Name, func(k thconfig.Key) string { return k.Customer })
		found = len(a.Keys)
	default:
		return GetAnswer{}, therror.New(therror.NotFound, "nothing is called %q; there are %v", q.Item, Items())
	}
	if q.Name != "" && found == 0 && q.Item != Keys {
		return GetAnswer{}, therror.New(therror.NotFound, "none of the %s is called %q", q.Item, q.Name)
	}
	return a, nil
}

func named[T any](all []T, name string, of func(T) string) []T {
	if name == "" {
		return all
	}
	var found []T
	for _, t := range all {
		if of(t) == name {
			found = append(found, t)
		}
	}
	return found
}

func (s *Server) status(thwire.Sender, StatusRequest) (Status, error) { return s.Fleet.Status(), nil }

func (s *Server) report(_ thwire.Sender, q thburn.Query) (thburn.Report, error) {
	if s.Burn == nil {
		return thburn.Report{}, therror.New(therror.NotFound, "this VM makes no reports")
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	return s.Burn(ctx, q), nil
}

// fleet asks every VM of the roster. One that cannot be asked is listed with
// the reason.
func (s *Server) fleet(thwire.Sender, StatusRequest) (FleetAnswer, error) {
	own := s.Fleet.Status()
	vms := s.Fleet.Roster().VMs()
	if s.Peers == nil || len(vms) == 0 {
		return FleetAnswer{VMs: []Status{own}}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	all := make([]Status, len(vms))
	var g errgroup.Group
	g.SetLimit(fleetParallel)
	for i, v := range vms {
		if v.ID == own.VM.ID {
			all[i] = own
			continue
		}
		g.Go(func() error {
			all[i] = s.ask(ctx, v)
			return nil
		})
	}
	_ = g.Wait() // the functions above never fail
	return FleetAnswer{VMs: all}, nil
}

func (s *Server) ask(ctx context.Context, v throster.VM) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := thwire.Call[StatusRequest, Status](ctx, s.Peers, v.PeerAddress, pathPeer, StatusRequest{})
	if err != nil {
		return Status{VM: v, Failure: err.Error()}
	}
	return st
}
