package thtable

import "slices"

// Document is a routing table as it passes between VMs, in JSON. Package
// platform decodes the operator's configuration into one.
type Document struct {
	// Version orders documents; it only rises.
	Version   uint64     `json:"version"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	Limits    Limits     `json:"limits"`
	// KeyRequired is set if requests need a key, but for those on open routes.
	KeyRequired bool `json:"keyed"`
}

// Safety says what a failed attempt allows.
type Safety string

// The kinds of requests. A request of any other value is taken to be Once.
const (
	// Idempotent requests may run more than once.
	Idempotent Safety = "idempotent"
	// AtMostOnce requests run at most once.
	AtMostOnce Safety = "once"
	// Upload requests run at most once and have large bodies.
	Upload Safety = "upload"
)

// Backend is one of the services that a route's requests are spread over.
type Backend struct {
	Service string `json:"service"`
	// Weight is the service's part, relative to the sum of all.
	Weight float64 `json:"weight"`
}

// Route says which service runs the requests of a host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest one wins.
	Prefix string `json:"prefix"`
	Safety Safety `json:"safety"`
	// TimeoutMillis bounds the time until the final answer; 0 is no bound.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// LatencyObjectiveMillis is the latency objective.
	LatencyObjectiveMillis int64 `json:"objectiveMillis"`
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int       `json:"priority"`
	Backends []Backend `json:"backends"`
	// MaxAttempts is how many targets may run one request.
	MaxAttempts int `json:"maxAttempts"`
	// Open routes take requests without a key.
	Open bool `json:"open,omitempty"`
}

// IsIdempotent reports whether the route's requests may run more than once.
func (r Route) IsIdempotent() bool { return r.Safety == Idempotent }

// Service is a set of interchangeable targets.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is how many connections a target takes from all VMs together.
	MaxConnections int `json:"connections"`
}

// Customer is somebody whose requests are limited together.
type Customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"`
	// Rate is in requests a second over all VMs; 0 is no limit.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
	// Routes are the names of the routes open to the customer; empty means all.
	Routes []string `json:"routes,omitempty"`
}

// MayUse reports whether the route is open to the customer.
func (c Customer) MayUse(r Route) bool {
	return len(c.Routes) == 0 || slices.Contains(c.Routes, r.Name)
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes         int   `json:"headerBytes"`
	BodyBytes           int   `json:"bodyBytes"`
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis"`
	IdleTimeoutMillis   int64 `json:"idleTimeoutMillis"`
}
