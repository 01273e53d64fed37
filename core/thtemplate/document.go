package thtemplate

import (
	"strings"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thtable"
)

// Document returns the routing table for the expansion, with the given version.
func (e Expansion) Document(version uint64) thtable.Document {
	d := thtable.Document{Version: version}
	services := make(map[string]thconfig.Service, len(e.Deployment.Services))
	for _, s := range e.Deployment.Services {
		services[s.Name] = s
		d.Services = append(d.Services, thtable.Service{Name: s.Name, MaxConnections: s.MaxConnections})
	}
	for _, r := range e.Deployment.Routes {
		d.Routes = append(d.Routes, newRoute(r, services[r.Service]))
	}
	for _, c := range e.Customers {
		d.RequiresKey = d.RequiresKey || len(c.Keys) > 0
		d.Customers = append(d.Customers, thtable.Customer{
			Name: c.Name, Keys: c.Keys, Priority: c.Priority, Rate: c.Rate, Burst: float64(c.Burst), Routes: c.Routes,
		})
	}
	return d
}

// newRoute returns the route of the routing table: it adds the limits of the
// route's service and the defaults, one attempt and thtable.AtMostOnce.
func newRoute(r thconfig.Route, s thconfig.Service) thtable.Route {
	safety := thtable.Safety(r.Safety)
	if safety == "" {
		safety = thtable.AtMostOnce
	}
	return thtable.Route{
		Name: r.Name, Host: r.Host, Prefix: strings.TrimSuffix(r.Prefix, "/") + "/", Safety: safety,
		TimeoutMillis: int64(s.TimeoutMillis), LatencyObjectiveMillis: int64(s.Objective.LatencyMillis),
		Backends: []thtable.Backend{{Service: r.Service, Weight: 1}}, MaxAttempts: max(1, r.MaxAttempts), Open: r.Open,
	}
}

// Targets returns the targets of all services. The ID of a target is
// "service/address".
func (e Expansion) Targets() []thtable.Target {
	var ts []thtable.Target
	for _, s := range e.Deployment.Services {
		for _, t := range s.Targets {
			ts = append(ts, thtable.Target{ID: s.Name + "/" + t.Address, Service: s.Name, Address: t.Address, Zone: t.Zone, Slots: s.Slots})
		}
	}
	return ts
}
