// Package thsettings holds the settings of one VM's process. Each setting is
// defined once and can be given by flag, by environment variable or in a TOML
// file, in this order of precedence. Every value is checked before the process
// starts.
package thsettings

import (
	"net"
	"time"

	"tamarackhollow/core/throster"
)

// VM says which VM the process runs on.
type VM struct {
	ID string
	// Address is the IP that the VM's own connections leave from; empty takes
	// that of its listener for peers.
	Address string
	Zone    string
	Region  string
	// Incarnation is 0 if the time of the start is to be taken.
	Incarnation uint64
	// MemoryMegabytes is what the process may use; 0 is no bound.
	MemoryMegabytes int
}

// Listen holds the addresses that the process listens on, each "IP:port".
type Listen struct {
	Callers string
	Peers   string
	// PeersAdvertised is where the other VMs reach Peers; empty means the same.
	PeersAdvertised string
	Operators       string
	// Readiness is where the balancer asks whether the VM takes callers; empty
	// if that is asked nowhere else than at Callers.
	Readiness string
	// Metrics is empty if metrics are not served.
	Metrics string
}

// Platform says where the platform's service is and how to reach it.
type Platform struct {
	Address    string
	Credential string
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

// Requests bounds what callers may send.
type Requests struct {
	// MaxBodyBytes bounds a request's body; 0 means the default.
	MaxBodyBytes int
}

// Drain bounds a planned stop.
type Drain struct {
	// LimitMillis bounds how long requests in flight are waited for, in
	// milliseconds; 0 means the default.
	LimitMillis int
	// NoticeMillis is how long the VM still takes requests after it has stopped
	// being ready, so that a balancer notices, in milliseconds; 0 means the default.
	NoticeMillis int
}

// Workers bounds the controllers' pool; 0 means the default.
type Workers struct {
	Count int
}

// Settings are the settings of one process. They come from Parse checked; the
// zero Settings give every default and listen nowhere.
type Settings struct {
	VM        VM
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators
	Requests  Requests
	Drain     Drain
	Workers   Workers
}

const (
	defaultMaxBodyBytes = 8 << 20
	defaultDrainLimit   = 60 * time.Second
	defaultDrainNotice  = 2 * time.Second
	defaultWorkers      = 32
)

// MaxBody returns MaxBodyBytes or its default.
func (r Requests) MaxBody() int { return orDefault(r.MaxBodyBytes, defaultMaxBodyBytes) }

// Limit returns LimitMillis as a time span, or its default.
func (d Drain) Limit() time.Duration {
	return orDefault(time.Duration(d.LimitMillis)*time.Millisecond, defaultDrainLimit)
}

// Notice returns NoticeMillis as a time span, or its default.
func (d Drain) Notice() time.Duration {
	return orDefault(time.Duration(d.NoticeMillis)*time.Millisecond, defaultDrainNotice)
}

// Size returns Count or its default.
func (w Workers) Size() int { return orDefault(w.Count, defaultWorkers) }

func orDefault[N int | time.Duration](n, otherwise N) N {
	if n == 0 {
		return otherwise
	}
	return n
}

// Self returns the VM as the roster lists it. The incarnation is the given one
// unless the settings name another.
func (s Settings) Self(incarnation uint64) throster.VM {
	if s.VM.Incarnation != 0 {
		incarnation = s.VM.Incarnation
	}
	advertised := s.Listen.PeersAdvertised
	if advertised == "" {
		advertised = s.Listen.Peers
	}
	return throster.VM{
		ID:          s.VM.ID,
		PeerAddress: advertised,
		Zone:        s.VM.Zone,
		Region:      s.VM.Region,
		Incarnation: incarnation,
	}
}

// LocalIP returns the IP that the VM's own connections leave from.
func (s Settings) LocalIP() string {
	if s.VM.Address != "" {
		return s.VM.Address
	}
	host, _, _ := net.SplitHostPort(s.Listen.Peers)
	return host
}
