package thtemplate

import (
	"slices"

	"tamarackhollow/core/thconfig"
)

// Prepare completes a change as an operator sends it: templates, and
// deployments that name one, are expanded, and a target that is marked as
// leaving keeps its zone. Other changes stay as they are.
func Prepare(c thconfig.Config, change thconfig.Change) (thconfig.Change, error) {
	switch h := change.(type) {
	case thconfig.PutTemplate:
		return TemplateChange(c, h.Template.Source)
	case thconfig.PutDeployment:
		d := h.Deployment
		if d.Template == "" {
			return h, nil
		}
		return Request{Deployment: d.Name, Template: d.Template, Parameters: d.Parameters}.Change(c)
	case thconfig.SetTarget:
		return withZone(c, h)
	}
	return change, nil
}

func withZone(c thconfig.Config, h thconfig.SetTarget) (thconfig.Change, error) {
	if h.Target.Zone != "" {
		return h, nil
	}
	s, ok := c.Service(h.Service)
	if !ok {
		return nil, invalid("service %s: no such service", h.Service)
	}
	i := slices.IndexFunc(s.Targets, func(t thconfig.Target) bool { return t.Address == h.Target.Address })
	if i < 0 {
		return nil, invalid("service %s has no target %s", h.Service, h.Target.Address)
	}
	h.Target.Zone = s.Targets[i].Zone
	return h, nil
}
