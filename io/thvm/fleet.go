package thvm

import (
	"context"
	"fmt"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thoperator"
)

// fleet shows a VM to its operators' side.
type fleet struct{ v *VM }

var _ thoperator.Fleet = fleet{}

func (f fleet) Config() thconfig.Config { return f.v.agreement.Config() }

func (f fleet) Roster() throster.Roster { return f.v.agreement.Roster() }

func (f fleet) Apply(ctx context.Context, changeID string, precondition uint64, change thconfig.Change) (thoperator.ApplyResult, error) {
	a, err := f.v.agreement.Apply(ctx, changeID, precondition, change)
	return thoperator.ApplyResult{
		Version: a.Version, State: thoperator.State(a.State), Acknowledged: a.Acknowledged, Of: a.Of,
	}, err
}

func (f fleet) Status() thoperator.Status {
	a := f.v.agreement.Status()
	s := thoperator.Status{
		VM: f.v.self, Ready: f.v.agreement.Ready(), Draining: f.v.stopping.Load(),
		Version: a.Version, Fresh: f.v.agreement.CheckFresh() == nil, FreshMillis: a.FreshMillis,
		StoreAnswers:  f.v.platform.Answers(),
		RosterVersion: a.Roster.Version(), RosterSize: a.Roster.Len(),
		LimitHomes: f.v.limiter.Stats().Parts, InFlight: f.v.callers.InFlight(),
	}
	for _, t := range f.v.balance.Status() {
		if t.State == "healthy" {
			continue
		}
		s.Targets = append(s.Targets, thoperator.TargetStatus{
			Service: t.Service, Address: t.Address, State: t.State,
			Evidence: fmt.Sprintf("%.0f requests, %.0f failed, %.0f slow", t.Requests, t.Failed, t.Slow),
		})
	}
	return s
}
