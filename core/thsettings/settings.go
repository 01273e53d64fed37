// Package thsettings holds the settings of one VM's process. Each setting is
// defined once and can be given by flag, by environment variable or in a TOML
// file, in this order of precedence. Every value is checked before the process
// starts.
package thsettings

import (
	"net"
	"reflect"
)

// VM says which VM the process runs on.
type VM struct {
	ID string
	// Address is the IP that the VM's own connections leave from; empty takes
	// that of its listener for peers.
	Address string
	Zone    string
	// MemoryMegabytes is what the process may use; 0 is no bound.
	MemoryMegabytes int
}

// Listen holds the addresses that the process listens on, each "IP:port".
type Listen struct {
	Callers string
	Peers   string
	// Operators is where operators ask how the fleet stands.
	Operators string
	// Readiness is where the balancer asks whether the VM takes callers; empty
	// if that is asked nowhere else than at Callers.
	Readiness string
	// Metrics is empty if metrics are not served.
	Metrics string
}

// Platform says where the platform's service is and how to reach it.
type Platform struct {
	Address string
	// Bounds are the figures that the platform sets, each "name=value".
	Bounds []string
}

// Peers says how VMs know each other.
type Peers struct {
	Credential string
	// Seeds are addresses of other VMs' listeners for peers. They are asked
	// while the platform's service is down.
	Seeds []string
}

// Operators says how operators are known.
type Operators struct {
	Credential string
}

// Settings are the settings of one process. They come from Parse checked; the
// zero Settings give every default and listen nowhere.
type Settings struct {
	VM        VM
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators
}

// LocalIP returns the IP that the VM's own connections leave from.
func (s Settings) LocalIP() string {
	if s.VM.Address != "" {
		return s.VM.Address
	}
	host, _, _ := net.SplitHostPort(s.Listen.Peers)
	return host
}

// DiffRequiringRestart returns the names of the settings that differ and take effect
// only when the process starts anew.
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
