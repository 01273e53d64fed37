package thtable

import "slices"

// Document is the form in which VMs pass the routing table to each other, as
// JSON. Package platform decodes the operator's configuration into one.
type Document struct {
	// Version orders documents, but for Orders. It only increases.
	Version   uint64     `json:"version"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	Limits    Limits     `json:"limits"`
	// RequiresKey is set if requests need a key, except on open routes.
	RequiresKey bool `json:"keyed"`
	// Orders are the orders to evacuate availability zones. Unlike all else, they are ordered by
	// their own position. VMs of older builds do not know them.
	Orders Orders `json:"orders,omitzero"`
}

// Merged returns the parts of both documents that are the newest: the routes, services, customers
// and limits of the higher version, and the orders of the later position.
func (d Document) Merged(o Document) Document {
	merged, orders := d, d.Orders
	if o.Version > d.Version {
		merged = o
	}
	// At one position, a VM that has read all rows may not know of the last revocations.
	if o.Orders.IsAfter(orders.Position) || o.Orders.Position == orders.Position && len(o.Orders.List) > len(orders.List) {
		orders = o.Orders
	}
	merged.Orders = orders
	return merged
}

// IsNewerThan reports whether a part of the document is newer than that of the other one.
func (d Document) IsNewerThan(o Document) bool {
	return d.Version > o.Version || d.Orders.IsAfter(o.Orders.Position)
}

// Safety says whether a request may be sent again once it may have run.
type Safety string

// The safety of a route's requests. Any other value is treated as AtMostOnce.
const (
	// Idempotent requests may run any number of times.
	Idempotent Safety = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Safety = "once"
	// Upload requests must not run twice and have large bodies.
	Upload Safety = "upload"
)

// Backend is one of the services among which a route's requests are divided.
type Backend struct {
	Service string `json:"service"`
	// Weight is the service's share relative to the sum of the route's weights.
	Weight float64 `json:"weight"`
}

// Route says which services run the requests for a host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest matching prefix of a host
	// wins.
	Prefix string `json:"prefix"`
	Safety Safety `json:"safety"`
	// TimeoutMillis bounds the time until the final answer; 0 means no bound.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// LatencyObjectiveMillis is the time within which an answer counts as good.
	LatencyObjectiveMillis int64 `json:"objectiveMillis"`
	// Priority ranks requests under overload; 0 is the most urgent.
	Priority int       `json:"priority"`
	Backends []Backend `json:"backends"`
	// MaxAttempts bounds the number of targets that may run one request.
	MaxAttempts int `json:"maxAttempts"`
	// Open is set if requests need no key.
	Open bool `json:"open,omitempty"`
}

// IsIdempotent reports whether the route's requests may run more than once.
func (r Route) IsIdempotent() bool { return r.Safety == Idempotent }

// Service is a group of targets that can each run the same requests.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that each target accepts from all
	// VMs together.
	MaxConnections int `json:"connections"`
	// ColdRate is how many requests a second each target may get from all VMs together while
	// it is cold, that is, warms up; 0 means no bound.
	ColdRate float64 `json:"coldRate,omitempty"`
	// ColdMillis is for how long a target is cold after it has started.
	ColdMillis int64 `json:"coldMillis,omitempty"`
}

// Customer is a holder of keys whose requests share one rate limit.
type Customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"`
	// Rate is the limit in requests per second over all VMs; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64 `json:"burst"`
	// Routes holds the names of the routes that the customer may use; empty means
	// all.
	Routes []string `json:"routes,omitempty"`
}

// MayUse reports whether the customer may use the route.
func (c Customer) MayUse(r Route) bool {
	return len(c.Routes) == 0 || slices.Contains(c.Routes, r.Name)
}

// Limits bound the size of callers' requests and how long a VM waits for them.
type Limits struct {
	HeaderBytes         int   `json:"headerBytes"`
	BodyBytes           int   `json:"bodyBytes"`
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis"`
	IdleTimeoutMillis   int64 `json:"idleTimeoutMillis"`
}
