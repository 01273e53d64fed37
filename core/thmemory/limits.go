package thmemory

import "math"

const (
	// ownMemory is what the process takes beside what callers make it hold: its code, tables and
	// connections to targets. A process without callers takes 14 to 24 MB.
	ownMemory = 16 << 20
	// callerShare is the share of the rest that callers may use. It is the least that lets one
	// customer send 64 MiB at a VM of 136 MB, which is three quarters of 90 MB. What is left is for
	// unfinished answers of targets and for memory that is free but not collected yet.
	callerShare = 0.72
	// runtimeShare is the share of the rest from which on the Go runtime frees memory at once. What
	// is left is for memory that is allocated while it does so.
	runtimeShare = 0.78
	// minRuntimeShare is the share of all memory that the runtime may use at least.
	minRuntimeShare = 0.35
	// minCallerShare is the share of all memory that callers may use at least.
	minCallerShare = 0.2
	// connectionShare is the share of callers' memory that connections may take, and
	// descriptorShare the share of the descriptors. The other half is for connections to targets.
	connectionShare = 0.5
	descriptorShare = 0.5
)

// CallerLimit returns how many bytes callers may make a process hold that may use the given memory; 0
// means no limit for both.
func CallerLimit(memory int64) int64 {
	return int64(max(callerShare*float64(memory-ownMemory), minCallerShare*float64(memory)))
}

// RuntimeLimit returns the memory limit of the Go runtime, in bytes, for a process that may use the given
// memory.
func RuntimeLimit(memory int64) int64 {
	return int64(max(runtimeShare*float64(memory-ownMemory), minRuntimeShare*float64(memory)))
}

// ConnectionLimit returns how many connections of callers a process may have open, for a limit of
// callers' memory and of open descriptors, and the bytes of a connection. A limit of 0 means none.
func ConnectionLimit(callerBytes, descriptors, connectionBytes int64) int {
	n := int64(math.MaxInt32)
	if callerBytes > 0 {
		n = min(n, int64(connectionShare*float64(callerBytes))/connectionBytes)
	}
	if descriptors > 0 {
		n = min(n, int64(descriptorShare*float64(descriptors)))
	}
	return int(max(1, n))
}
