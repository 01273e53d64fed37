package thconfig

import (
	"math"
	"net/netip"
	"strings"

	"tamarackhollow/core/therror"
)

const (
	maxNameBytes = 128
	maxRate      = 1e6 // requests a second
	maxBurst     = 1e7 // requests
)

func invalid(format string, args ...any) error {
	return therror.New(therror.ChangeInvalid, format, args...)
}

func checkName(place, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid("%s: a name of 1 to %d bytes is needed, not %q", place, maxNameBytes, name)
	}
	ok := func(r rune) bool {
		return r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return !ok(r) }); i >= 0 {
		return invalid("%s: name %q may hold letters, digits, '-', '_' and '.'", place, name)
	}
	return nil
}

func checkService(s Service) error {
	if err := checkName("service", s.Name); err != nil {
		return err
	}
	switch {
	case !(s.Floor >= 0 && s.Floor <= 1):
		return invalid("service %s: floor %v must lie between 0 and 1", s.Name, s.Floor)
	case s.Slots < 1:
		return invalid("service %s: slots %d must be at least 1", s.Name, s.Slots)
	case s.Connections < 1:
		return invalid("service %s: connections %d must be at least 1", s.Name, s.Connections)
	case s.TimeoutMillis < 0:
		return invalid("service %s: timeoutMillis %d must not be negative", s.Name, s.TimeoutMillis)
	case s.ShedStatus != 0 && (s.ShedStatus < 400 || s.ShedStatus > 599):
		return invalid("service %s: shedStatus %d must be an HTTP error status", s.Name, s.ShedStatus)
	}
	seen := make(map[string]bool, len(s.Targets))
	for _, t := range s.Targets {
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return invalid("service %s: target %q must be IP:port", s.Name, t.Address)
		}
		if seen[t.Address] {
			return invalid("service %s: target %s stands twice", s.Name, t.Address)
		}
		seen[t.Address] = true
	}
	return nil
}

func (c Config) checkRoute(d Deployment, r Route) error {
	if err := checkName("route", r.Name); err != nil {
		return err
	}
	if !strings.HasPrefix(r.Prefix, "/") || len(r.Prefix) > 1 && strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %s: prefix %q must begin with / and not end with it", r.Name, r.Prefix)
	}
	if o, taken := c.routes.get(r.Prefix); taken {
		return invalid("route %s: prefix %s belongs to route %s already", r.Name, r.Prefix, o.Name)
	}
	for _, s := range d.Services {
		if s.Name == r.Service {
			return nil
		}
	}
	return invalid("route %s: the deployment %s has no service %q", r.Name, d.Name, r.Service)
}

func (c Config) checkCustomer(u Customer) error {
	if err := checkName("customer", u.Name); err != nil {
		return err
	}
	if !(u.Rate > 0 && u.Rate <= maxRate) || math.IsNaN(u.Rate) {
		return invalid("customer %s: rate %v must lie above 0 and at most %v a second", u.Name, u.Rate, maxRate)
	}
	if u.Burst < 1 || u.Burst > maxBurst {
		return invalid("customer %s: burst %d must lie between 1 and %v", u.Name, u.Burst, maxBurst)
	}
	d, ok := c.deployments.get(u.Deployment)
	if !ok {
		return invalid("customer %s: no deployment %q", u.Name, u.Deployment)
	}
	for _, name := range u.Routes {
		if !hasRoute(d, name) {
			return invalid("customer %s: the deployment %s has no route %q", u.Name, d.Name, name)
		}
	}
	return nil
}

func hasRoute(d Deployment, name string) bool {
	for _, r := range d.Routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

func (c Config) checkKey(k Key) error {
	if err := checkName("key", k.ID); err != nil {
		return err
	}
	if len(k.Hash) != hashDigits {
		return invalid("key %s: the hash must have %d hexadecimal digits", k.ID, hashDigits)
	}
	if _, ok := c.customers.get(k.Customer); !ok {
		return invalid("key %s: no customer %q", k.ID, k.Customer)
	}
	if _, ok := c.keys.get(k.ID); ok {
		return invalid("key %s: stands already", k.ID)
	}
	if _, ok := c.withdrawn.get(k.ID); ok {
		return invalid("key %s: was withdrawn and cannot come back", k.ID)
	}
	return nil
}
