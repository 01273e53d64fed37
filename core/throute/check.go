package throute

import (
	"encoding/json"
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
)

const (
	// checkGap is about how often some VM checks a target.
	checkGap = time.Second
	// confirmGap bounds how often a VM checks by itself what others said.
	confirmGap = time.Second
	// quietRequests is below which a target counts as getting no requests.
	quietRequests = 1
)

// Checks returns the targets that this VM is to check now. The VMs share the
// checks out by chance, each taking its part of them, so that no agreement on
// who checks what is needed. What another VM heard of a target that is leaving
// is checked at once.
func (b *Balancer[W]) Checks(now thclock.Instant) []string {
	var due []string
	users := max(1, float64(b.vms)*float64(len(b.targets))/float64(max(1, len(b.spec.Targets))))
	for _, g := range b.targets {
		first := g.nextCheck == (thclock.Instant{})
		confirm := g.row.SaidLeaving(now) && !g.leaving(now) && now.Sub(g.checked) >= confirmGap
		if !confirm && now.Before(g.nextCheck) {
			continue
		}
		gap := users * (0.5 + b.rng.Float64())
		if first {
			gap = users * b.rng.Float64()
		}
		g.nextCheck = now.Add(time.Duration(gap * float64(checkGap)))
		if !first || confirm {
			g.checked = now
			due = append(due, g.address)
		}
	}
	return due
}

// health is a target's answer to a check.
type health struct {
	Status string  `json:"status"`
	Load   float64 `json:"load"`
}

// Checked takes in the answer to a check. It is heard for what the target says
// of itself; that it claims to be well or ill counts for nothing, because
// requests show better. Only a target that nobody sends requests to and that
// cannot be reached counts as failing.
func (b *Balancer[W]) Checked(now thclock.Instant, address string, a threquest.Attempt) {
	for _, g := range b.targets {
		if g.address != address {
			continue
		}
		quiet := g.row.Sample(now).Recent().Requests < quietRequests
		if a.Err != nil && !a.Sent && quiet {
			g.row.Observe(now, thhealth.Failed, 0)
			b.stirred = true
		}
		b.hearCheck(now, g, a.Answer)
	}
}

func (b *Balancer[W]) hearCheck(now thclock.Instant, g *target, a *threquest.Answer) {
	var h health
	if a == nil || a.Status != 200 || json.Unmarshal(a.Body, &h) != nil {
		return
	}
	if h.Load >= 0 {
		g.reported, g.reportedUntil = h.Load, now.Add(loadBelieved)
	}
	if strings.EqualFold(h.Status, StateLeaving) {
		b.hearLeaving(now, g)
	}
}
