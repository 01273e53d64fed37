package thconfig

import (
	"math"
	"net/netip"
	"slices"
	"strings"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtable"
)

const (
	maxNameBytes = 128
	maxRate      = 1e6 // requests a second
	maxBurst     = 1e7 // requests
	maxAttempts  = 10  // targets that may run one request
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

func checkRoute(d Deployment, r Route) error {
	if err := checkName("route", r.Name); err != nil {
		return err
	}
	if r.Host == "" {
		return invalid("route %s: host is missing", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || len(r.Prefix) > 1 && strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %s: prefix %q must begin with / and not end with it", r.Name, r.Prefix)
	}
	switch r.Safety {
	case "", string(thtable.Idempotent), string(thtable.AtMostOnce), string(thtable.Upload):
	default:
		return invalid("route %s: safety %q must be idempotent, once or upload", r.Name, r.Safety)
	}
	if r.Attempts < 0 || r.Attempts > maxAttempts {
		return invalid("route %s: attempts %d must lie between 0 and %d", r.Name, r.Attempts, maxAttempts)
	}
	for _, s := range d.Services {
		if s.Name == r.Service {
			return nil
		}
	}
	return invalid("route %s: the deployment %s has no service %q", r.Name, d.Name, r.Service)
}

func checkCustomer(d Deployment, u Customer) error {
	if err := checkName("customer", u.Name); err != nil {
		return err
	}
	if !(u.Rate > 0 && u.Rate <= maxRate) || math.IsNaN(u.Rate) {
		return invalid("customer %s: rate %v must lie above 0 and at most %v a second", u.Name, u.Rate, maxRate)
	}
	if u.Burst < 1 || u.Burst > maxBurst {
		return invalid("customer %s: burst %d must lie between 1 and %v", u.Name, u.Burst, maxBurst)
	}
	for _, name := range u.Routes {
		if !slices.ContainsFunc(d.Routes, func(r Route) bool { return r.Name == name }) {
			return invalid("customer %s: the deployment %s has no route %q", u.Name, d.Name, name)
		}
	}
	return nil
}

// checkKeys refuses keys that are empty or held by two customers.
func checkKeys(customers []Customer) error {
	holder := make(map[string]string)
	for _, u := range customers {
		for _, key := range u.Keys {
			if o, ok := holder[key]; ok || key == "" {
				return invalid("customer %s: a key is empty or held by customer %s too", u.Name, o)
			}
			holder[key] = u.Name
		}
	}
	return nil
}

// Check reports what is wrong with a deployment and its customers. It fails
// with ChangeInvalid, naming the place and the reason.
func Check(d Deployment, customers []Customer) error {
	if err := checkName("deployment", d.Name); err != nil {
		return err
	}
	if err := checkEach("service", d.Services, checkService, func(s Service) string { return s.Name }); err != nil {
		return err
	}
	if err := checkEach("route", d.Routes, func(r Route) error { return checkRoute(d, r) }, func(r Route) string { return r.Name }); err != nil {
		return err
	}
	if err := checkPrefixes(d.Routes); err != nil {
		return err
	}
	if err := checkKeys(customers); err != nil {
		return err
	}
	return checkEach("customer", customers, func(u Customer) error { return checkCustomer(d, u) }, func(u Customer) string { return u.Name })
}

// checkEach checks all and that no name stands twice.
func checkEach[T any](what string, all []T, check func(T) error, name func(T) string) error {
	seen := make(map[string]bool, len(all))
	for _, t := range all {
		if err := check(t); err != nil {
			return err
		}
		if seen[name(t)] {
			return invalid("%s %s: stands twice", what, name(t))
		}
		seen[name(t)] = true
	}
	return nil
}

func checkPrefixes(routes []Route) error {
	type place struct{ host, prefix string }
	taken := make(map[place]string, len(routes))
	for _, r := range routes {
		p := place{r.Host, r.Prefix}
		if o, ok := taken[p]; ok {
			return invalid("route %s: host %s and prefix %s belong to route %s already", r.Name, r.Host, r.Prefix, o)
		}
		taken[p] = r.Name
	}
	return nil
}
