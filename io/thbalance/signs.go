package thbalance

import (
	"strconv"
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
)

// The headers by which targets speak of themselves in any answer.
const (
	// HeaderLoad holds the requests that the target has in hand.
	HeaderLoad = "Target-Load"
	// HeaderState holds StateLeaving once the target takes no new work.
	HeaderState = "Target-State"
	// StateLeaving is a leaving target's HeaderState.
	StateLeaving = "leaving"
)

const (
	leavingBelieved = 30 * time.Second
	loadBelieved    = time.Second
)

// hear takes in what the target's answer says of the target itself.
func (s *service) hear(now thclock.Instant, g *target, a *threquest.Answer) {
	if a == nil {
		return
	}
	for _, h := range a.Headers {
		switch {
		case strings.EqualFold(h.Name, HeaderLoad):
			s.hearLoad(now, g, h.Value)
		case strings.EqualFold(h.Name, HeaderState):
			if strings.EqualFold(strings.TrimSpace(h.Value), StateLeaving) {
				s.hearLeaving(now, g)
			}
		}
	}
}

func (s *service) hearLoad(now thclock.Instant, g *target, value string) {
	load, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(load >= 0) {
		return
	}
	g.reported, g.reportedUntil = load, now.Add(loadBelieved)
}

func (s *service) hearLeaving(now thclock.Instant, g *target) {
	before := g.leaving(now)
	g.leavingUntil = now.Add(leavingBelieved)
	if before {
		return
	}
	s.f.Log.Log(thevent.TargetLeaving, thevent.F("service", s.spec.Name), thevent.F("target", g.address))
	s.rebuild(now)
}
