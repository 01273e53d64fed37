//go:build review

package kit2

import "fmt"

// Route is a route of a configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutS, TargetLatencyS    float64
	MaxAttempts                 int
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name, Key       string
	RatePerS, Burst float64
}

// Host is the host of all routes.
const Host = "seals.example"

// PutConfig writes a configuration as the operator does. Its limits are those of the examples on
// the pages.
func (s *Store) PutConfig(version int, routes []Route, services []string, tenants []Tenant) {
	table := func(columns []string, rows [][]any) map[string]any {
		return map[string]any{"columns": columns, "rows": rows}
	}
	var r, v, t [][]any
	for _, x := range routes {
		r = append(r, []any{x.Name, Host, x.Prefix, x.Kind, x.TimeoutS, x.TargetLatencyS, 1, nil, x.MaxAttempts, false, x.Service})
	}
	for _, x := range services {
		v = append(v, []any{x, "/health", 360, "h1", false})
	}
	for _, x := range tenants {
		t = append(t, []any{x.Name, []string{x.Key}, 1, x.RatePerS, x.Burst})
	}
	s.Put("op", "config", map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   table([]string{"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "backends", "maxAttempts", "authExempt", "service"}, r),
		"services": table([]string{"name", "healthPath", "maxConns", "protocol", "tls"}, v),
		"tenants":  table([]string{"name", "apiKeys", "priority", "ratePerS", "burst"}, t),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}
