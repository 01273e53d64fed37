package thsettings

import (
	"flag"
	"fmt"
	"math"
)

// setting is one setting's definition.
type setting struct {
	name     string
	usage    string
	value    value
	required bool
}

const (
	maxNameLength     = 128
	minCredential     = 8
	maxCredential     = 256
	maxBodyBytesLimit = 1 << 30
	maxMillis         = 24 * 60 * 60 * 1000
	maxWorkers        = 4096
	maxMegabytes      = 1 << 20
)

// definitions lists every setting, bound to the fields of s.
func definitions(s *Settings) []setting {
	return []setting{
		{"vm.id", "the VM's name, unique in the fleet", &nameValue{&s.VM.ID}, true},
		{"vm.address", "IP that the VM's own connections leave from", &ipValue{&s.VM.Address}, false},
		{"vm.zone", "the VM's availability zone", &nameValue{&s.VM.Zone}, true},
		{"vm.region", "the VM's region", &nameValue{&s.VM.Region}, false},
		{"vm.memoryMegabytes", "memory that the process may use; 0 is no bound", &wholeValue[int]{&s.VM.MemoryMegabytes, 0, maxMegabytes}, false},
		{"vm.incarnation", "the VM's incarnation; 0 takes the time of the start", &wholeValue[uint64]{&s.VM.Incarnation, 0, math.MaxInt64}, false},
		{"listen.callers", "address for callers", &addressValue{&s.Listen.Callers}, true},
		{"listen.peers", "address for the other VMs", &addressValue{&s.Listen.Peers}, true},
		{"listen.peersAdvertised", "where the other VMs reach listen.peers, if elsewhere", &addressValue{&s.Listen.PeersAdvertised}, false},
		{"listen.readiness", "address for the balancer's question whether the VM takes callers", &addressValue{&s.Listen.Readiness}, false},
		{"listen.operators", "address for operators", &addressValue{&s.Listen.Operators}, true},
		{"listen.metrics", "address for metrics; none are served without it", &addressValue{&s.Listen.Metrics}, false},
		{"platform.address", "address of the platform's service", &addressValue{&s.Platform.Address}, true},
		{"platform.credential", "credential for the platform's service", &credentialValue{&s.Platform.Credential}, false},
		{"platform.bounds", "bounds that the platform sets, name=value", &pairsValue{&s.Platform.Bounds}, false},
		{"peers.credential", "credential between VMs", &credentialValue{&s.Peers.Credential}, true},
		{"peers.seeds", "other VMs' addresses for peers", &addressesValue{&s.Peers.Seeds}, false},
		{"operators.credential", "credential of operators", &credentialValue{&s.Operators.Credential}, true},
		{"requests.maxBodyBytes", "largest request body in bytes", &wholeValue[int]{&s.Requests.MaxBodyBytes, 1, maxBodyBytesLimit}, false},
		{"drain.limitMillis", "longest wait for requests in flight, in milliseconds", &wholeValue[int]{&s.Drain.LimitMillis, 1, maxMillis}, false},
		{"drain.noticeMillis", "time that a balancer gets to notice the stop, in milliseconds", &wholeValue[int]{&s.Drain.NoticeMillis, 1, maxMillis}, false},
		{"workers.count", "most controllers that run at once", &wholeValue[int]{&s.Workers.Count, 1, maxWorkers}, false},
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
