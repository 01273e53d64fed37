package thagree

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// Status is what an operator is shown of one VM's agreement.
type Status struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Accepted uint64 `json:"accepted"`
	// FreshMillis is how much longer the VM may serve if it hears nothing.
	FreshMillis int64                `json:"freshMillis"`
	Member      bool                 `json:"member"`
	Roster      throster.Roster      `json:"roster"`
	Members     []throster.Knowledge `json:"members"`
}

// Status returns what this VM knows now.
func (a *Agreement) Status() Status {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.records.Config()
	return Status{
		Version: c.Version(), Digest: c.Digest(), Accepted: a.node.Accepted(),
		FreshMillis: left(now, a.node.Deadline()),
		Member:      a.node.Voter(), Roster: c.Roster(), Members: a.node.Knowledge(now),
	}
}

func left(now, deadline thclock.Instant) int64 {
	if now.Passed(deadline) {
		return 0
	}
	return min(deadline.Mono-now.Mono, deadline.Wall-now.Wall).Milliseconds()
}
