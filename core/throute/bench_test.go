package throute_test

import (
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thconfig"
)

// nyabugogo and teifi are the users' services, with the health settings that
// docs/notes/targets.md recommends for each.
func nyabugogo() []workload {
	h := thconfig.HealthPolicy{}
	return []workload{
		{"inventory", 6, 2, 1, 0.40, h}, {"dispatch", 10, 2, 1, 0.40, h}, {"quality", 8, 2, 1, 0.40, h},
	}
}

func teifi() []workload {
	h := thconfig.HealthPolicy{}
	return []workload{
		{"catalogue", 6, 6, 1.5, 0.15, h}, {"orders", 10, 6, 1.5, 0.15, h}, {"proofs", 15, 6, 1.5, 0.15, h},
	}
}

type scenario struct {
	name   string
	faults func(targets int) map[int]fault
	length time.Duration
}

func one(f fault) func(int) map[int]fault {
	return func(int) map[int]fault { return map[int]fault{1: f} }
}

func whole(f fault) func(int) map[int]fault {
	return func(n int) map[int]fault {
		m := map[int]fault{}
		for i := range n {
			m[i] = f
		}
		return m
	}
}

const (
	onset    = 20 * time.Second
	ordinary = 60 * time.Second
)

func scenarios() []scenario {
	return []scenario{
		{"none", one(fault{}), 5 * time.Minute},
		{"slow3", one(fault{slow: 3}), ordinary},
		{"slow10", one(fault{slow: 10}), ordinary},
		{"fail5", one(fault{fail: 0.05}), ordinary},
		{"fail50", one(fault{fail: 0.5}), ordinary},
		{"wrong20", one(fault{wrong: 0.2}), ordinary},
		{"frozen", one(fault{frozen: true}), ordinary},
		{"flap1s", one(fault{fail: 0.8, period: time.Second}), ordinary},
		{"flap5s", one(fault{fail: 0.8, period: 5 * time.Second}), ordinary},
		{"flap20s", one(fault{slow: 10, period: 20 * time.Second}), 2 * ordinary},
		{"lyingload", one(fault{lyLoad: true}), ordinary},
		{"path", one(fault{fail: 0.8, onlyVM: 1}), ordinary},
		{"pathslow", one(fault{slow: 10, onlyVM: 1}), ordinary},
		{"wholeslow2", whole(fault{slow: 2}), ordinary},
		{"wholefail", whole(fault{fail: 0.3}), ordinary},
		{"two", func(int) map[int]fault { return map[int]fault{1: {slow: 10}, 3: {fail: 0.5}} }, ordinary},
		{"most", func(n int) map[int]fault {
			m := map[int]fault{}
			for i := range n*2/3 + 1 {
				m[i] = fault{fail: 0.5}
			}
			return m
		}, ordinary},
	}
}

const seeds = 2

// BenchmarkFaults plays each fault on each user's services, under the naive
// policy and under ours. It reports no speeds: the clock is scripted.
func BenchmarkFaults(b *testing.B) {
	for _, user := range []struct {
		name      string
		workloads []workload
	}{{"nyabugogo", nyabugogo()}, {"teifi", teifi()}} {
		for _, s := range scenarios() {
			for _, ours := range []bool{false, true} {
				name := "naive"
				if ours {
					name = "ours"
				}
				b.Run(user.name+"/"+s.name+"/"+name, func(b *testing.B) {
					for b.Loop() {
						r := play(user.workloads, s, ours)
						r.report(b)
					}
				})
			}
		}
	}
}

// play runs a scenario on all services and seeds and adds up.
func play(ws []workload, s scenario, ours bool) result {
	results := make([]result, len(ws)*seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			w := ws[i%len(ws)]
			x := newWorld(w, uint64(i+1), s.faults(w.targets), onset, ours)
			results[i] = x.run(s.length)
		})
	}
	wg.Wait()
	var sum result
	for _, r := range results {
		sum.add(r)
	}
	return sum
}
