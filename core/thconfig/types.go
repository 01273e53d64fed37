// Package thconfig holds what operators write of a deployment: services, routes
// and customers with their rates. It is checked here before anything is made of
// it.
package thconfig

// Target is one upstream process of a service.
type Target struct {
	// Address is "IP:port".
	Address string `json:"address" toml:"address"`
	Zone    string `json:"zone" toml:"zone"`
}

// Objective is what a service promises its customers.
type Objective struct {
	// Availability is the share of requests, 0 to 1, to be answered well.
	Availability float64 `json:"availability,omitempty" toml:"availability"`
	// LatencyMillis is how long a good answer may take, in milliseconds.
	LatencyMillis int `json:"latencyMillis,omitempty" toml:"latencyMillis"`
}

// Service is a set of interchangeable targets and the policy towards them.
type Service struct {
	Name    string   `json:"name" toml:"name"`
	Targets []Target `json:"targets" toml:"targets"`
	// Slots is how many requests a target runs at once.
	Slots int `json:"slots" toml:"slots"`
	// MaxConnections is how many connections a target takes from all VMs together.
	MaxConnections int `json:"connections" toml:"connections"`
	// Floor is the share of the service's capacity, 0 to 1, that ejection never goes below.
	Floor float64 `json:"floor" toml:"floor"`
	// TimeoutMillis bounds one request where the caller gives no deadline.
	TimeoutMillis int       `json:"timeoutMillis" toml:"timeoutMillis"`
	Objective     Objective `json:"objective" toml:"objective"`
}

// Route maps a path prefix to a service.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Host is the host that the route is for.
	Host string `json:"host" toml:"host"`
	// Prefix is matched at path segment boundaries; the longest wins.
	Prefix  string `json:"prefix" toml:"prefix"`
	Service string `json:"service" toml:"service"`
	// Open routes take requests without a key.
	Open bool `json:"open,omitempty" toml:"open"`
	// Safety says whether a request may run more than once: idempotent, once or
	// upload. Empty is once.
	Safety string `json:"safety,omitempty" toml:"safety"`
	// MaxAttempts is how many targets may run one request; 0 is one.
	MaxAttempts int `json:"attempts,omitempty" toml:"attempts"`
}

// Customer is somebody whose requests are limited and accounted together.
type Customer struct {
	Name string `json:"name" toml:"name"`
	// Rate is in requests a second over all VMs together.
	Rate float64 `json:"rate" toml:"rate"`
	// Burst is in requests.
	Burst int `json:"burst" toml:"burst"`
	// Routes are the names of the routes open to the customer; empty means all.
	Routes []string `json:"routes,omitempty" toml:"routes"`
	// Keys are the keys that the customer's requests carry.
	Keys []string `json:"keys,omitempty" toml:"keys"`
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int `json:"priority,omitempty" toml:"priority"`
}

// ParameterValue is a template parameter's value as the operator wrote it.
type ParameterValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Deployment is a template filled in.
type Deployment struct {
	Name       string           `json:"name"`
	Template   string           `json:"template"`
	Parameters []ParameterValue `json:"parameters,omitempty"`
	Services   []Service        `json:"services"`
	Routes     []Route          `json:"routes"`
}
