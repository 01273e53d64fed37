// Package thsettings defines and parses the settings of a VM's process. A setting
// can be given as a flag, as an environment variable or in a TOML file; a flag
// takes precedence over a variable, and a variable over the file. Every value is
// validated before the process starts.
package thsettings

import (
	"net"
	"reflect"
)

// VM describes the VM that the process runs on.
type VM struct {
	ID string
	// Address is the source IP of the connections that the VM opens. If it is
	// empty, the IP of Listen.Peers is used.
	Address string
	Zone    string
	// MemoryMegabytes limits the memory of the process; 0 sets no limit.
	MemoryMegabytes int
	// FirstStart is set if the whole fleet starts for the first time. The VM then waits
	// for the others before it reads the platform's store.
	FirstStart bool
}

// Listen holds the addresses that the process listens on, each "IP:port".
type Listen struct {
	Callers string
	// MaxConnections bounds the connections of callers; 0 derives it from the memory and the
	// number of descriptors that the process may have.
	MaxConnections int
	Peers          string
	// Operators is where operators ask for status and reports.
	Operators string
	// Readiness is where the load balancer checks over HTTP whether the VM is
	// ready. It is empty if the load balancer checks only Callers; readiness is
	// then not served.
	Readiness string
	// Metrics is where metrics are served; if it is empty, they are not.
	Metrics string
}

// Platform holds the address of the platform's store and the platform's limits.
type Platform struct {
	Address string
	// Bounds are the limits that the platform sets, each "name=value".
	Bounds []string
}

// Peers configures the communication between VMs.
type Peers struct {
	// Credential authenticates VMs to each other.
	Credential string
	// Seeds are the Listen.Peers addresses of other VMs. A VM that starts learns of the
	// other VMs from them, and gets the routing table and targets from them if the
	// platform's store does not answer.
	Seeds []string
}

// Operators configures the access of operators.
type Operators struct {
	// Credential authenticates operators to the VM.
	Credential string
}

// Settings are the settings of one process. Parse returns them validated. The
// zero Settings hold the defaults and no listener address.
type Settings struct {
	VM        VM
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators
}

// LocalIP returns the source IP of the connections that the VM opens: VM.Address,
// or else the IP of Listen.Peers.
func (s Settings) LocalIP() string {
	if s.VM.Address != "" {
		return s.VM.Address
	}
	host, _, _ := net.SplitHostPort(s.Listen.Peers)
	return host
}

// DiffRequiringRestart returns the names of the settings that differ between s and
// changed and take effect only after a restart.
func (s Settings) DiffRequiringRestart(changed Settings) []string {
	before, after := definitions(&s), definitions(&changed)
	var names []string
	for i, d := range before {
		if !d.live && !reflect.DeepEqual(d.value, after[i].value) {
			names = append(names, d.name)
		}
	}
	return names
}
