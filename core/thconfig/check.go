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

// checkName validates the name of an element of the given kind, such as "service".
func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid("%s: name must have 1 to %d bytes, not %q", kind, maxNameBytes, name)
	}
	isAllowed := func(r rune) bool {
		return r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return !isAllowed(r) }); i >= 0 {
		return invalid("%s: name %q may contain only letters, digits, '-', '_' and '.'", kind, name)
	}
	return nil
}

func checkService(s Service) error {
	if err := checkName("service", s.Name); err != nil {
		return err
	}
	switch {
	case !(s.Floor >= 0 && s.Floor <= 1):
		return invalid("service %s: floor %v must be between 0 and 1", s.Name, s.Floor)
	case s.Slots < 1:
		return invalid("service %s: slots %d must be at least 1", s.Name, s.Slots)
	case s.MaxConnections < 1:
		return invalid("service %s: connections %d must be at least 1", s.Name, s.MaxConnections)
	case s.TimeoutMillis < 0:
		return invalid("service %s: timeoutMillis %d must not be negative", s.Name, s.TimeoutMillis)
	}
	seen := make(map[string]bool, len(s.Targets))
	for _, t := range s.Targets {
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return invalid("service %s: target address %q must be IP:port", s.Name, t.Address)
		}
		if seen[t.Address] {
			return invalid("service %s: target %s is listed twice", s.Name, t.Address)
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
		return invalid("route %s: prefix %q must begin with / and, unless it is just /, must not end with /", r.Name, r.Prefix)
	}
	switch r.Safety {
	case "", string(thtable.Idempotent), string(thtable.AtMostOnce), string(thtable.Upload):
	default:
		return invalid("route %s: safety %q must be idempotent, once or upload", r.Name, r.Safety)
	}
	if r.MaxAttempts < 0 || r.MaxAttempts > maxAttempts {
		return invalid("route %s: attempts %d must be between 0 and %d", r.Name, r.MaxAttempts, maxAttempts)
	}
	for _, s := range d.Services {
		if s.Name == r.Service {
			return nil
		}
	}
	return invalid("route %s: the deployment %s has no service %q", r.Name, d.Name, r.Service)
}

func checkCustomer(d Deployment, c Customer) error {
	if err := checkName("customer", c.Name); err != nil {
		return err
	}
	if !(c.Rate > 0 && c.Rate <= maxRate) || math.IsNaN(c.Rate) {
		return invalid("customer %s: rate %v must be above 0 and at most %v requests a second", c.Name, c.Rate, maxRate)
	}
	if c.Burst < 1 || c.Burst > maxBurst {
		return invalid("customer %s: burst %d must be between 1 and %v requests", c.Name, c.Burst, maxBurst)
	}
	for _, name := range c.Routes {
		if !slices.ContainsFunc(d.Routes, func(r Route) bool { return r.Name == name }) {
			return invalid("customer %s: the deployment %s has no route %q", c.Name, d.Name, name)
		}
	}
	return nil
}

// checkKeys rejects empty keys and duplicate keys.
func checkKeys(customers []Customer) error {
	holders := make(map[string]string)
	for _, c := range customers {
		for _, key := range c.Keys {
			if other, ok := holders[key]; ok || key == "" {
				return invalid("customer %s: a key is empty or already used by customer %q; each key must be non-empty and unique", c.Name, other)
			}
			holders[key] = c.Name
		}
	}
	return nil
}

// Check validates a deployment and its customers. It returns the first problem as
// a therror.ChangeInvalid error that names the invalid part and the reason.
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
	return checkEach("customer", customers, func(c Customer) error { return checkCustomer(d, c) }, func(c Customer) string { return c.Name })
}

// checkEach applies check to all elements, which are of the given kind, and rejects
// duplicate names.
func checkEach[T any](kind string, all []T, check func(T) error, name func(T) string) error {
	seen := make(map[string]bool, len(all))
	for _, t := range all {
		if err := check(t); err != nil {
			return err
		}
		if seen[name(t)] {
			return invalid("%s %s is defined twice; each name must be unique", kind, name(t))
		}
		seen[name(t)] = true
	}
	return nil
}

// checkPrefixes rejects routes that have the same host and prefix.
func checkPrefixes(routes []Route) error {
	type hostPrefix struct{ host, prefix string }
	taken := make(map[hostPrefix]string, len(routes))
	for _, r := range routes {
		p := hostPrefix{r.Host, r.Prefix}
		if other, ok := taken[p]; ok {
			return invalid("route %s: host %s and prefix %s are already used by route %s", r.Name, r.Host, r.Prefix, other)
		}
		taken[p] = r.Name
	}
	return nil
}
