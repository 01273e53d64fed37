package thview

import "tamarackhollow/core/thtable"

// shares spreads a route's requests over its services by smooth weighted
// round robin, which keeps any short run of requests close to the weights.
type shares struct {
	credit map[string]float64
}

// Backend returns the service that the route's next request goes to.
func (v *View) Backend(r thtable.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s := v.shares[r.Name]
	if s == nil {
		s = &shares{credit: make(map[string]float64)}
		v.shares[r.Name] = s
	}
	return s.next(r.Backends, v.options.Rand.Float64())
}

// next returns the service whose credit is the largest. The first requests of
// a VM start at a random point, so that many VMs with few requests each keep
// to the weights together.
func (s *shares) next(bs []thtable.Backend, start float64) string {
	var sum float64
	for _, b := range bs {
		sum += b.Weight
	}
	if sum <= 0 {
		return ""
	}
	if len(s.credit) == 0 {
		for _, b := range bs {
			s.credit[b.Service] = -b.Weight
		}
		point := start * sum
		for _, b := range bs {
			if point -= b.Weight; point < 0 {
				s.credit[b.Service] += sum
				break
			}
		}
	}
	best := ""
	for _, b := range bs {
		s.credit[b.Service] += b.Weight
		if best == "" || s.credit[b.Service] > s.credit[best] {
			best = b.Service
		}
	}
	s.credit[best] -= sum
	return best
}
