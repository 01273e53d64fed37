package throute_test

import (
	"slices"
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
	surge  surge
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
		{name: "none", faults: one(fault{}), length: 5 * time.Minute},
		{name: "slow3", faults: one(fault{slow: 3}), length: ordinary},
		{name: "slow10", faults: one(fault{slow: 10}), length: ordinary},
		{name: "fail5", faults: one(fault{fail: 0.05}), length: ordinary},
		{name: "fail50", faults: one(fault{fail: 0.5}), length: ordinary},
		{name: "wrong20", faults: one(fault{wrong: 0.2}), length: ordinary},
		{name: "frozen", faults: one(fault{frozen: true}), length: ordinary},
		{name: "flap1s", faults: one(fault{fail: 0.8, period: time.Second}), length: ordinary},
		{name: "flap5s", faults: one(fault{fail: 0.8, period: 5 * time.Second}), length: ordinary},
		{name: "flap20s", faults: one(fault{slow: 10, period: 20 * time.Second}), length: 2 * ordinary},
		{name: "lyingload", faults: one(fault{lyLoad: true}), length: ordinary},
		{name: "path", faults: one(fault{fail: 0.8, onlyVM: 1}), length: ordinary},
		{name: "pathslow", faults: one(fault{slow: 10, onlyVM: 1}), length: ordinary},
		{name: "wholeslow2", faults: whole(fault{slow: 2}), length: ordinary},
		{name: "wholefail", faults: whole(fault{fail: 0.3}), length: ordinary},
		{name: "two", faults: func(int) map[int]fault { return map[int]fault{1: {slow: 10}, 3: {fail: 0.5}} }, length: ordinary},
		{name: "most", length: ordinary, faults: func(n int) map[int]fault {
			m := map[int]fault{}
			for i := range n*2/3 + 1 {
				m[i] = fault{fail: 0.5}
			}
			return m
		}},
		{name: "silent", faults: whole(fault{silent: 2}), length: ordinary},
		{name: "leaving", faults: one(fault{leaving: true}), length: ordinary},
		{name: "storm", faults: one(fault{}), length: ordinary, surge: surge{factor: 5, length: 10 * time.Second, resend: true}},
		{name: "stormsick", faults: one(fault{fail: 0.5}), length: ordinary, surge: surge{factor: 5, length: 10 * time.Second, resend: true}},
		{name: "crowd", faults: one(fault{}), length: ordinary, surge: surge{factor: 4, length: ordinary, one: true}},
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
			x.surge = s.surge
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

// BenchmarkSettings plays a few faults under three health policies, to show
// what each costs.
func BenchmarkSettings(b *testing.B) {
	policies := []struct {
		name   string
		health thconfig.HealthPolicy
	}{
		{"careful", thconfig.HealthPolicy{SlowFactor: 3, FailureShare: 0.03, Evidence: 8, HoldMillis: 3000}},
		{"default", thconfig.HealthPolicy{}},
		{"eager", thconfig.HealthPolicy{SlowFactor: 2, FailureShare: 0.005, Evidence: 3, HoldMillis: 10000}},
	}
	chosen := []string{"none", "slow3", "fail5", "fail50", "path", "wholeslow2", "wholefail", "stormsick"}
	for _, user := range []struct {
		name      string
		workloads []workload
	}{{"nyabugogo", nyabugogo()}, {"teifi", teifi()}} {
		for _, s := range scenarios() {
			if !slices.Contains(chosen, s.name) {
				continue
			}
			for _, p := range policies {
				ws := slices.Clone(user.workloads)
				for i := range ws {
					ws[i].health = p.health
				}
				b.Run(user.name+"/"+s.name+"/"+p.name, func(b *testing.B) {
					for b.Loop() {
						r := play(ws, s, true)
						r.report(b)
					}
				})
			}
		}
	}
}
