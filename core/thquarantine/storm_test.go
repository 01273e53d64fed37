package thquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thquarantine"

	"gotest.tools/v3/assert"
)

// storm drives a service whose targets also die by themselves now and then,
// while a caller goes on sending a request that kills every target.
type storm struct {
	random  *rand.Rand
	targets []stormTarget
	// decide says whether a request that had these deaths may run.
	table *thquarantine.Table
	naive func(deaths int) bool
	// listens has targets that died take connections all the same, as one does
	// whose parent process keeps the port.
	listens bool
	// deaths counts a request's cuts for the naive ways.
	deaths map[thquarantine.Key]int

	killed, refusedWrongly, ran int
}

type stormTarget struct {
	downUntil time.Duration
	running   []stormRun
}

type stormRun struct {
	key  thquarantine.Key
	ends time.Duration
}

const (
	stormSlots    = 6
	stormRestart  = 2 * time.Second
	stormTick     = 10 * time.Millisecond
	stormLength   = 10 * time.Minute
	stormRunTime  = 200 * time.Millisecond
	stormOwnDeath = 20 * time.Second
	stormResend   = 500 * time.Millisecond
	stormNews     = 50 * time.Millisecond
)

func (s *storm) held(now time.Duration, k thquarantine.Key) bool {
	if s.table != nil {
		return s.table.IsQuarantined(at(now), k)
	}
	return !s.naive(s.deaths[k])
}

// send runs the request on a target that is up and has a free slot.
func (s *storm) send(now time.Duration, k thquarantine.Key, kills bool, tries int) {
	if s.held(now, k) {
		if !kills {
			s.refusedWrongly++
		}
		return
	}
	for range 20 {
		i := s.random.IntN(len(s.targets))
		g := &s.targets[i]
		if now < g.downUntil || len(g.running) >= stormSlots {
			continue
		}
		g.running = append(g.running, stormRun{k, now + stormRunTime})
		s.ran++
		if kills {
			s.killed++
			s.kill(now, i, tries)
		}
		return
	}
}

// kill ends the target; what it was running is sent again elsewhere.
func (s *storm) kill(now time.Duration, i, tries int) {
	g := &s.targets[i]
	cut := g.running
	g.running, g.downUntil = nil, now+stormRestart
	name := fmt.Sprint(i)
	for _, r := range cut {
		s.deaths[r.key]++
		if s.table != nil {
			s.table.RecordConnectionClosed(at(now), r.key, name, false)
		}
	}
	if s.table != nil && !s.listens {
		s.table.RecordConnectionRefused(at(now+stormNews), name)
	}
	if tries <= 1 {
		return
	}
	for _, r := range cut {
		if r.key != killer {
			s.send(now+stormNews, r.key, false, tries-1)
		}
	}
}

var killer = key("guild", -1)

func (s *storm) run() {
	innocent := 0
	for now := time.Duration(0); now < stormLength; now += stormTick {
		for i := range s.targets {
			g := &s.targets[i]
			left := g.running[:0]
			for _, r := range g.running {
				if r.ends > now {
					left = append(left, r)
					continue
				}
				if s.table != nil {
					s.table.RecordAnswer(at(now), r.key)
				}
			}
			g.running = left
			if now >= g.downUntil && s.random.Float64() < float64(stormTick)/float64(stormOwnDeath) {
				s.kill(now, i, 3)
			}
		}
		innocent++
		s.send(now, key("college", innocent), false, 3)
		if now%stormResend == 0 {
			s.send(now, killer, true, 1)
		}
		if s.table != nil && now%time.Second == 0 {
			s.table.Sweep(at(now))
		}
	}
}

// TestStorm compares the table with sending on and with refusing after one
// cut. The bounds are three deaths, or six cuts, before a hold that lasts as
// long as the test.
func TestStorm(t *testing.T) {
	ways := []struct {
		name    string
		table   *thquarantine.Table
		naive   func(int) bool
		listens bool
		// most is how many targets may be killed.
		most int
	}{
		{name: "never refuse", naive: func(int) bool { return true }},
		{name: "refuse after one cut", naive: func(n int) bool { return n == 0 }},
		{name: "table", table: &thquarantine.Table{}, most: 3},
		{name: "table, targets that go on listening", table: &thquarantine.Table{}, listens: true, most: 6},
	}
	for _, w := range ways {
		s := &storm{random: rand.New(rand.NewPCG(3, 4)), targets: make([]stormTarget, 10), table: w.table, naive: w.naive, listens: w.listens, deaths: map[thquarantine.Key]int{}}
		s.run()
		t.Logf("%s: the killer killed %d targets; %d innocent requests refused of %d runs", w.name, s.killed, s.refusedWrongly, s.ran)
		if w.table != nil {
			assert.Assert(t, s.killed <= w.most)
			assert.Equal(t, s.refusedWrongly, 0)
		}
	}
}
