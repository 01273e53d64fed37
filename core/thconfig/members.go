package thconfig

import (
	"slices"

	"tamarackhollow/core/throster"
)

// ChangeMembers changes the roster. VMs make it themselves; it stands in the
// same chain as the operators' changes, so that the roster is a function of
// the version and two VMs at one version never differ about it.
type ChangeMembers struct {
	Join  []throster.VM `json:"join,omitempty"`
	Leave []throster.VM `json:"leave,omitempty"`
}

func (ChangeMembers) isChange() {}

// Roster returns the VMs at this version.
func (c Config) Roster() throster.Roster { return c.roster }

// Changed returns the version of the last operator's change: the version that
// an operator's precondition is held against, because VMs that come and go
// must not refuse an operator's change.
func (c Config) Changed() uint64 { return c.changed }

func (c Config) withMembers(m ChangeMembers) (Config, error) {
	r := c.roster
	for _, v := range m.Leave {
		old, ok := r.VM(v.ID)
		if !ok || old.Incarnation != v.Incarnation {
			return c, invalid("roster: VM %s is not there as incarnation %d", v.ID, v.Incarnation)
		}
		r = r.WithoutVM(v.ID)
	}
	for _, v := range m.Join {
		if err := checkName("VM", v.ID); err != nil {
			return c, err
		}
		if old, ok := r.VM(v.ID); ok && old.Incarnation >= v.Incarnation {
			return c, invalid("roster: VM %s is there as incarnation %d already", v.ID, old.Incarnation)
		}
		r = r.WithVM(v)
	}
	if r.Version() == c.roster.Version() {
		return c, invalid("roster: the change names no VM")
	}
	c.roster = throster.NewRoster(c.version+1, r.VMs())
	return c, nil
}

// Joining returns the change that takes those into the roster that are not in
// it yet, or only as a lower incarnation, and false if there are none.
func (c Config) Joining(wanting []throster.VM) (ChangeMembers, bool) {
	var m ChangeMembers
	for _, v := range wanting {
		one := ChangeMembers{Join: append(slices.Clone(m.Join), v)}
		if _, err := c.withMembers(one); err == nil {
			m = one
		}
	}
	return m, len(m.Join) > 0
}
