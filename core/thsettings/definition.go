package thsettings

import (
	"flag"
	"fmt"
)

// setting is one setting's definition.
type setting struct {
	name     string
	usage    string
	value    value
	required bool
	// live settings take effect while the process runs.
	live bool
}

const (
	maxNameLength = 128
	minCredential = 8
	maxCredential = 256
	maxMegabytes  = 1 << 20
)

// definitions lists every setting, bound to the fields of s.
func definitions(s *Settings) []setting {
	return []setting{
		{"vm.id", "the VM's name, unique in the fleet", &nameValue{&s.VM.ID}, true, false},
		{"vm.address", "IP that the VM's own connections leave from", &ipValue{&s.VM.Address}, false, false},
		{"vm.zone", "the VM's availability zone", &nameValue{&s.VM.Zone}, true, false},
		{"vm.memoryMegabytes", "memory that the process may use; 0 is no bound", &wholeValue[int]{&s.VM.MemoryMegabytes, 0, maxMegabytes}, false, true},
		{"listen.callers", "address for callers", &addressValue{&s.Listen.Callers}, true, false},
		{"listen.peers", "address for the other VMs", &addressValue{&s.Listen.Peers}, true, false},
		{"listen.readiness", "address for the balancer's question whether the VM takes callers", &addressValue{&s.Listen.Readiness}, false, false},
		{"listen.operators", "address for operators", &addressValue{&s.Listen.Operators}, true, false},
		{"listen.metrics", "address for metrics; none are served without it", &addressValue{&s.Listen.Metrics}, false, false},
		{"platform.address", "address of the platform's service", &addressValue{&s.Platform.Address}, true, false},
		{"platform.bounds", "bounds that the platform sets, name=value", &pairsValue{&s.Platform.Bounds}, false, true},
		{"peers.credential", "credential between VMs", &credentialValue{&s.Peers.Credential}, true, false},
		{"peers.seeds", "other VMs' addresses for peers", &addressesValue{&s.Peers.Seeds}, false, true},
		{"operators.credential", "credential of operators", &credentialValue{&s.Operators.Credential}, true, false},
	}
}

// value is a flag's value that knows what it allows.
type value interface {
	flag.Value
	allowed() string
	// secret values are not repeated in errors.
	secret() bool
}

func (d setting) shown(text string) string {
	if d.value.secret() {
		return "(not shown)"
	}
	return fmt.Sprintf("%q", text)
}
