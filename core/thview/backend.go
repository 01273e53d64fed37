package thview

import (
	"math"

	"tamarackhollow/core/thtable"
)

// shares spreads a route's requests over its services. Each VM walks through
// the weights in steps of the golden ratio from a random start: any run of its
// requests is close to the weights, and so are the first requests of many VMs
// together.
type shares struct {
	point float64
}

// goldenRatio is the step whose multiples spread most evenly.
var goldenRatio = (math.Sqrt(5) - 1) / 2

// PickBackend returns the service that the route's next request goes to.
func (v *View) PickBackend(r thtable.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s := v.shares[r.Name]
	if s == nil {
		s = &shares{point: v.options.Rand.Float64()}
		v.shares[r.Name] = s
	}
	_, s.point = math.Modf(s.point + goldenRatio)
	return at(r.Backends, s.point)
}

// at returns the service at a point from 0 to 1 of the weights laid end to end.
func at(bs []thtable.Backend, point float64) string {
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
