// Package thconfig holds the configuration that operators change under live
// traffic: templates, deployments, customers, keys and routes. A Config is
// immutable; each change gives a new one whose version is one higher and whose
// digest chains on.
package thconfig

import (
	"slices"
	"time"
)

// Target is one upstream process of a service.
type Target struct {
	// Address is "IP:port".
	Address string `json:"address" toml:"address"`
	Zone    string `json:"zone" toml:"zone"`
	// Leaving targets get no new work and count as gone.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
}

// HealthPolicy says what counts as sick. Zero fields take the defaults of
// package thhealth.
type HealthPolicy struct {
	// SlowFactor is how many times the service's median latency is slow.
	SlowFactor float64 `json:"slowFactor,omitempty" toml:"slowFactor"`
	// FailureShare is the share of failed requests, 0 to 1, that is sick.
	FailureShare float64 `json:"failureShare,omitempty" toml:"failureShare"`
	// Evidence is how many requests a verdict needs at the least.
	Evidence int `json:"evidence,omitempty" toml:"evidence"`
	// HoldMillis is the first hold of an ejected target, in milliseconds.
	HoldMillis int `json:"holdMillis,omitempty" toml:"holdMillis"`
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
	// Connections is how many connections a target takes from all VMs together.
	Connections int `json:"connections" toml:"connections"`
	// Floor is the share of the service's capacity, 0 to 1, that ejection never goes below.
	Floor float64 `json:"floor" toml:"floor"`
	// TimeoutMillis bounds one request where the caller gives no deadline.
	TimeoutMillis int `json:"timeoutMillis" toml:"timeoutMillis"`
	// ShedStatus is the status by which a target says that it did not run the
	// request; 0 if it never says so.
	ShedStatus int          `json:"shedStatus,omitempty" toml:"shedStatus"`
	Health     HealthPolicy `json:"health" toml:"health"`
	Objective  Objective    `json:"objective" toml:"objective"`
}

// Timeout returns TimeoutMillis as a time span, or ten seconds if it is not set.
func (s Service) Timeout() time.Duration {
	if s.TimeoutMillis <= 0 {
		return defaultTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

const defaultTimeout = 10 * time.Second

// WithTarget returns the service with the target of the same address replaced,
// or added if there is none.
func (s Service) WithTarget(t Target) Service {
	i := slices.IndexFunc(s.Targets, func(o Target) bool { return o.Address == t.Address })
	s.Targets = slices.Clone(s.Targets)
	if i < 0 {
		s.Targets = append(s.Targets, t)
		return s
	}
	s.Targets[i] = t
	return s
}

// Route maps a path prefix to a service.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Prefix is matched at path segment boundaries; the longest wins.
	Prefix  string `json:"prefix" toml:"prefix"`
	Service string `json:"service" toml:"service"`
	// Open routes take requests without a key.
	Open bool `json:"open,omitempty" toml:"open"`
	// Idempotent lists the methods that may run more than once. If it is
	// empty, GET, HEAD and OPTIONS may.
	Idempotent []string `json:"idempotent,omitempty" toml:"idempotent"`
}

// RepeatSafe reports whether a request with the method may run more than once.
func (r Route) RepeatSafe(method string) bool {
	if len(r.Idempotent) > 0 {
		return slices.Contains(r.Idempotent, method)
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// Customer is somebody whose requests are limited and accounted together.
type Customer struct {
	Name string `json:"name" toml:"name"`
	// Rate is in requests a second over all VMs together.
	Rate float64 `json:"rate" toml:"rate"`
	// Burst is in requests.
	Burst int `json:"burst" toml:"burst"`
	// Routes are the names of the routes open to the customer; empty means all
	// routes of its deployment.
	Routes []string `json:"routes,omitempty" toml:"routes"`
	// Deployment is the deployment that the customer belongs to.
	Deployment string `json:"deployment" toml:"deployment"`
}

// Key is an issued key. The key itself is never kept.
type Key struct {
	// ID is the public part by which the key is found.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Hash is the SHA-256 of the whole key, in hexadecimal.
	Hash string `json:"hash"`
}

// Parameter is a template parameter's value as the operator wrote it.
type Parameter struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Template is a named source text; package thtemplate reads it.
type Template struct {
	Name   string `json:"name"`
	Source string `json:"source"`
}

// Deployment is a template filled in. Services and Routes are its expansion,
// made once by the VM that took the operator's change, so that no two VMs can
// expand it differently.
type Deployment struct {
	Name       string      `json:"name"`
	Template   string      `json:"template"`
	Parameters []Parameter `json:"parameters,omitempty"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
}
