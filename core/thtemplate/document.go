package thtemplate

import (
	"strings"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thtable"
)

// Document returns the routing table that the expansion comes to.
func (e Expansion) Document(version uint64) thtable.Document {
	d := thtable.Document{Version: version}
	services := make(map[string]thconfig.Service, len(e.Deployment.Services))
	for _, s := range e.Deployment.Services {
		services[s.Name] = s
		d.Services = append(d.Services, thtable.Service{Name: s.Name, MaxConnections: s.Connections})
	}
	for _, r := range e.Deployment.Routes {
		d.Routes = append(d.Routes, routeOf(r, services[r.Service]))
	}
	for _, u := range e.Customers {
		d.RequiresKey = d.RequiresKey || len(u.Keys) > 0
		d.Customers = append(d.Customers, thtable.Customer{
			Name: u.Name, Keys: u.Keys, Priority: u.Priority, Rate: u.Rate, Burst: float64(u.Burst), Routes: u.Routes,
		})
	}
	return d
}

func routeOf(r thconfig.Route, s thconfig.Service) thtable.Route {
	safety := thtable.Safety(r.Safety)
	if safety == "" {
		safety = thtable.AtMostOnce
	}
	return thtable.Route{
		Name: r.Name, Host: r.Host, Prefix: strings.TrimSuffix(r.Prefix, "/") + "/", Safety: safety,
		TimeoutMillis: int64(s.TimeoutMillis), LatencyObjectiveMillis: int64(s.Objective.LatencyMillis),
		Backends: []thtable.Backend{{Service: r.Service, Weight: 1}}, MaxAttempts: max(1, r.Attempts), Open: r.Open,
	}
}

// Targets returns the targets that the expansion names. The ID of each is its
// service and address.
func (e Expansion) Targets() []thtable.Target {
	var ts []thtable.Target
	for _, s := range e.Deployment.Services {
		for _, t := range s.Targets {
			ts = append(ts, thtable.Target{ID: s.Name + "/" + t.Address, Service: s.Name, Address: t.Address, Zone: t.Zone, Slots: s.Slots})
		}
	}
	return ts
}
