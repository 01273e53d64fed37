package thview

import (
	"math"

	"tamarackhollow/core/thtable"
)

// backendSequence spreads a route's requests over its services. Each VM walks through
// the weights in steps of the golden ratio from a random start: any run of its
// requests is close to the weights, and so are the first requests of many VMs
// together.
type backendSequence struct {
	position float64
}

// goldenRatioStep is the step whose multiples spread most evenly.
var goldenRatioStep = (math.Sqrt(5) - 1) / 2

// PickBackend returns the service that the route's next request goes to.
func (v *View) PickBackend(r thtable.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s := v.backendSequences[r.Name]
	if s == nil {
		s = &backendSequence{position: v.options.Rand.Float64()}
		v.backendSequences[r.Name] = s
	}
	_, s.position = math.Modf(s.position + goldenRatioStep)
	return backendAt(r.Backends, s.position)
}

// backendAt returns the service backendAt a point from 0 to 1 of the weights laid end to end.
func backendAt(bs []thtable.Backend, point float64) string {
	var sum float64
	for _, b := range bs {
		sum += b.Weight
	}
	left := point * sum
	name := ""
	for _, b := range bs {
		if b.Weight <= 0 {
			continue
		}
		name = b.Service
		if left -= b.Weight; left < 0 {
			break
		}
	}
	return name
}
