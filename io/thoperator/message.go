// Package thoperator is the operators' side of a VM: a server for operators'
// calls and the client that the commands use. Any VM takes any call.
package thoperator

import (
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thdiff"
	"tamarackhollow/core/throster"
)

// The paths of the calls.
const (
	pathChange = "/operator/change"
	pathGet    = "/operator/get"
	pathStatus = "/operator/status"
	pathFleet  = "/operator/fleet"
	pathReport = "/operator/report"
	pathPeer   = "/peer/status"
)

// State is how far a change has come.
type State string

// The states. StateAccepted promises that the change is stored and holds
// everywhere within seconds, for good.
const (
	StateChecked  State = "checked"
	StateStored   State = "stored"
	StateAccepted State = "accepted"
)

// ApplyResult is what became of a change.
type ApplyResult struct {
	Version uint64 `json:"version"`
	State   State  `json:"state"`
	// Acknowledged of Of VMs have said that they hold the change.
	Acknowledged int `json:"acknowledged"`
	Of           int `json:"of"`
}

// ApplyRequest is a change to make.
type ApplyRequest struct {
	// ChangeID names the change; the same ID twice is one change.
	ChangeID string
	// Precondition is the version that the change was decided on; 0 for any.
	Precondition uint64
	Change       thconfig.Change
}

// Issued is a new key.
type Issued struct {
	// Key is the clear text. It is kept nowhere else.
	Key string
	ID  string
	ApplyResult
}

// changeRequest asks for a change, or only for what it would do.
type changeRequest struct {
	Precondition uint64 `json:"precondition,omitempty"`
	// DryRun asks for the differences only.
	DryRun bool `json:"dryRun,omitempty"`
	// Record holds the change and its ID. Sending the same ID again is safe.
	Record thconfig.Record `json:"record"`
}

// ChangeAnswer is what became of a change and what it changes.
type ChangeAnswer struct {
	ApplyResult
	// Base is the version that Differences count from.
	Base        uint64        `json:"base"`
	Differences []thdiff.Line `json:"differences,omitempty"`
}

// Item is a kind of thing that Get returns.
type Item string

// The items.
const (
	Templates   Item = "templates"
	Deployments Item = "deployments"
	Services    Item = "services"
	Routes      Item = "routes"
	Customers   Item = "customers"
	Keys        Item = "keys"
)

// Items lists the kinds of things that Get returns.
func Items() []Item {
	return []Item{Templates, Deployments, Services, Routes, Customers, Keys}
}

// GetRequest asks for the things of one kind, or for one of them.
type GetRequest struct {
	Item Item `json:"item"`
	// Name is empty for all.
	Name string `json:"name,omitempty"`
}

// GetAnswer holds what was asked for, out of one version.
type GetAnswer struct {
	Version     uint64                `json:"version"`
	Templates   []thconfig.Template   `json:"templates,omitempty"`
	Deployments []thconfig.Deployment `json:"deployments,omitempty"`
	Services    []thconfig.Service    `json:"services,omitempty"`
	Routes      []thconfig.Route      `json:"routes,omitempty"`
	Customers   []thconfig.Customer   `json:"customers,omitempty"`
	Keys        []thconfig.Key        `json:"keys,omitempty"`
}

// StatusRequest asks for a VM's status.
type StatusRequest struct{}

// TargetStatus is a target that does not get ordinary work, as one VM sees it.
type TargetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// State is ejected, trial, draining or leaving.
	State string `json:"state"`
	// Evidence says in words what the state rests on.
	Evidence string `json:"evidence,omitempty"`
}

// Status is how one VM stands.
type Status struct {
	VM       throster.VM `json:"vm"`
	Ready    bool        `json:"ready"`
	Draining bool        `json:"draining,omitempty"`
	Version  uint64      `json:"version"`
	Fresh    bool        `json:"fresh"`
	// FreshMillis is how long the VM may still trust its configuration.
	FreshMillis int64 `json:"freshMillis"`
	// StoreAnswers is whether the platform's store answered at the last try.
	StoreAnswers bool `json:"storeAnswers"`
	// RosterVersion and RosterSize are the roster's as the VM has it.
	RosterVersion uint64 `json:"rosterVersion"`
	RosterSize    int    `json:"rosterSize"`
	// LimitHomes is of how many parts of customers' limits the VM is the home.
	LimitHomes int            `json:"limitHomes"`
	InFlight   int            `json:"inFlight"`
	Targets    []TargetStatus `json:"targets,omitempty"`
	// Failure says why the VM could not be asked.
	Failure string `json:"failure,omitempty"`
}

// FleetAnswer holds the status of every VM of the roster.
type FleetAnswer struct {
	VMs []Status `json:"vms"`
}
