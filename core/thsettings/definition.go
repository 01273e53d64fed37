package thsettings

import (
	"flag"
	"fmt"
)

// setting defines a setting and points to the field that holds its value.
type setting struct {
	name     string
	usage    string
	value    value
	required bool
	// live is set if a change takes effect without a restart.
	live bool
}

const (
	maxNameLength       = 128
	minCredentialLength = 8
	maxCredentialLength = 256
	maxMegabytes        = 1 << 20
	maxConnections      = 1 << 20
)

// definitions returns all settings; their values are stored in s.
func definitions(s *Settings) []setting {
	return []setting{
		{"vm.id", "name of the VM, unique in the fleet", &nameValue{&s.VM.ID}, true, false},
		{"vm.address", "source IP of the connections that the VM opens; by default the IP of listen.peers", &ipValue{&s.VM.Address}, false, false},
		{"vm.zone", "availability zone of the VM", &nameValue{&s.VM.Zone}, true, false},
		{"vm.memoryMegabytes", "memory that the process may use, in megabytes; 0 sets no limit", &integerValue[int]{&s.VM.MemoryMegabytes, 0, maxMegabytes}, false, true},
		{"vm.firstStart", "whether the whole fleet starts for the first time", &boolValue{&s.VM.FirstStart}, false, true},
		{"listen.callers", "address that callers connect to", &addressValue{&s.Listen.Callers}, true, false},
		{"listen.maxConnections", "connections of callers that may be open; 0 derives it from memory and descriptors", &integerValue[int]{&s.Listen.MaxConnections, 0, maxConnections}, false, true},
		{"listen.peers", "address that other VMs connect to", &addressValue{&s.Listen.Peers}, true, false},
		{"listen.readiness", "address for the load balancer's readiness checks", &addressValue{&s.Listen.Readiness}, false, false},
		{"listen.operators", "address that operators' commands connect to", &addressValue{&s.Listen.Operators}, true, false},
		{"listen.metrics", "address that serves metrics; without it, metrics are not served", &addressValue{&s.Listen.Metrics}, false, false},
		{"platform.address", "address of the platform's store", &addressValue{&s.Platform.Address}, true, false},
		{"platform.bounds", "limits that the platform sets", &pairsValue{&s.Platform.Bounds}, false, true},
		{"peers.credential", "credential that VMs authenticate to each other with", &credentialValue{&s.Peers.Credential}, true, false},
		{"peers.seeds", "listen.peers addresses of other VMs", &addressesValue{&s.Peers.Seeds}, false, true},
		{"operators.credential", "credential that operators authenticate with", &credentialValue{&s.Operators.Credential}, true, false},
	}
}

// value is a flag.Value that describes which values it accepts.
type value interface {
	flag.Value
	// allowedValues describes the accepted values, for usage and error texts.
	allowedValues() string
	// isSecret reports whether the value must not appear in error texts.
	isSecret() bool
}

// quoteUnlessSecret returns the given value in quotes for an error text, or
// "(not shown)" if the setting is secret.
func (d setting) quoteUnlessSecret(text string) string {
	if d.value.isSecret() {
		return "(not shown)"
	}
	return fmt.Sprintf("%q", text)
}
