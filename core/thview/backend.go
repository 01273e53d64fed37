package thview

import (
	"math"

	"tamarackhollow/core/thtable"
)

// backendSequence spreads a route's requests over its services by weight. It
// starts at a random position in the weights and advances by the golden ratio for
// each request. This way any run of one VM's requests is close to the weights, and
// so are the first requests of many VMs together.
type backendSequence struct {
	position float64
}

// goldenRatioStep is the reciprocal of the golden ratio, the step whose multiples
// modulo 1 spread most evenly.
var goldenRatioStep = (math.Sqrt(5) - 1) / 2

// PickBackend returns the name of the service for the route's next request.
func (v *View) PickBackend(r thtable.Route) string {
	name, next := v.decideBackend(r)
	if next != nil {
		v.backendSequences[r.Name] = next
	}
	return name
}

// decideBackend returns the name of the service for the route's next request, and the sequence
// after that request, which is nil if the route has one service only.
func (v *View) decideBackend(r thtable.Route) (name string, next *backendSequence) {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service, nil
	}
	next = &backendSequence{}
	if s := v.backendSequences[r.Name]; s != nil {
		*next = *s
	} else {
		next.position = v.options.Rand.Float64()
	}
	_, next.position = math.Modf(next.position + goldenRatioStep)
	return backendAt(r.Backends, next.position), next
}

// backendAt returns the service at a position from 0 to 1 in the weights laid end
// to end.
func backendAt(backends []thtable.Backend, position float64) string {
	var sum float64
	for _, b := range backends {
		sum += b.Weight
	}
	left := position * sum
	name := ""
	for _, b := range backends {
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
