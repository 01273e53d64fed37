// Package thconfig defines and validates a deployment's configuration as operators
// write it: services, routes, and customers with their rates.
package thconfig

// Target is an upstream process that runs requests of a service.
type Target struct {
	// Address is "IP:port".
	Address string `json:"address" toml:"address"`
	Zone    string `json:"zone" toml:"zone"`
}

// Objective is a service's service level objective.
type Objective struct {
	// Availability is the share of requests, from 0 to 1, that must succeed. It
	// is not part of the routing table; VMs use a fixed share.
	Availability float64 `json:"availability,omitempty" toml:"availability"`
	// LatencyMillis is the longest time in milliseconds that a good answer may
	// take.
	LatencyMillis int `json:"latencyMillis,omitempty" toml:"latencyMillis"`
}

// Service is a set of interchangeable targets and the limits that apply to them.
type Service struct {
	Name    string   `json:"name" toml:"name"`
	Targets []Target `json:"targets" toml:"targets"`
	// Slots is the number of requests that a target runs at once.
	Slots int `json:"slots" toml:"slots"`
	// MaxConnections is the number of connections that a target accepts, summed
	// over all VMs.
	MaxConnections int `json:"connections" toml:"connections"`
	// Floor is the share of the service's capacity, from 0 to 1, that ejecting
	// targets must leave in use. It is not part of the routing table; VMs apply
	// the platform's floorShare.
	Floor float64 `json:"floor" toml:"floor"`
	// TimeoutMillis limits how long a request may take, in milliseconds, even if
	// its caller gives a later deadline; 0 sets no limit.
	TimeoutMillis int       `json:"timeoutMillis" toml:"timeoutMillis"`
	Objective     Objective `json:"objective" toml:"objective"`
}

// Route sends requests for a host and path prefix to a service.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Host is the host that requests must name.
	Host string `json:"host" toml:"host"`
	// Prefix matches whole path segments. If several routes match, the one with
	// the longest prefix is used.
	Prefix  string `json:"prefix" toml:"prefix"`
	Service string `json:"service" toml:"service"`
	// Open is set if requests need no customer key.
	Open bool `json:"open,omitempty" toml:"open"`
	// Safety says whether a request may run more than once. It is "idempotent",
	// "once" or "upload"; empty means "once".
	Safety string `json:"safety,omitempty" toml:"safety"`
	// MaxAttempts is the number of targets that may run one request; 0 means 1.
	MaxAttempts int `json:"attempts,omitempty" toml:"attempts"`
}

// Customer is a client whose requests share a rate limit and are accounted for
// together.
type Customer struct {
	Name string `json:"name" toml:"name"`
	// Rate is the limit in requests a second, summed over all VMs.
	Rate float64 `json:"rate" toml:"rate"`
	// Burst is the size of the customer's token bucket, in requests.
	Burst int `json:"burst" toml:"burst"`
	// Routes are the names of the routes that the customer may use; empty means
	// all.
	Routes []string `json:"routes,omitempty" toml:"routes"`
	// Keys are the keys that identify the customer in requests.
	Keys []string `json:"keys,omitempty" toml:"keys"`
	// Priority ranks requests when load is shed; 0 is the most urgent.
	Priority int `json:"priority,omitempty" toml:"priority"`
}

// ParameterValue is the value that an operator gives a template parameter.
type ParameterValue struct {
	Name string `json:"name"`
	// Value is JSON text.
	Value string `json:"value"`
}

// Deployment is a template expanded with parameter values.
type Deployment struct {
	Name       string           `json:"name"`
	Template   string           `json:"template"`
	Parameters []ParameterValue `json:"parameters,omitempty"`
	Services   []Service        `json:"services"`
	Routes     []Route          `json:"routes"`
}
