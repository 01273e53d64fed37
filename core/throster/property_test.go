package throster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNobodyMissesAnAcceptedChange runs scripts of lost, repeated and reordered
// messages, cut-off and restarted VMs, rosters that change and a store whose
// answers get lost.
func TestNobodyMissesAnAcceptedChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript(t, rapid.IntRange(2, 5).Draw(t, "size"))
		for range 400 {
			s.step()
		}
		s.heal()
	})
}

// heal lets everything work again and expects all to agree and be fresh.
func (s *script) heal() {
	s.down = false
	s.flush()
	for range 4 {
		s.now += time.Second
		for _, id := range s.ids {
			if s.vms[id].dead {
				s.start(id)
			}
			s.readHead(s.vms[id], false)
			s.flush()
			s.join(s.vms[id])
			s.flush()
		}
		for _, id := range s.ids {
			for _, peer := range s.ids {
				s.ask(s.vms[id], peer, false)
			}
		}
		s.flush()
	}
	for _, id := range s.ids {
		n := s.vms[id].node
		assert.Equal(s.t, n.Version(), uint64(len(s.store)))
		assert.Equal(s.t, n.Accepted(), n.Version())
		assert.Assert(s.t, !s.instant().Passed(n.Deadline()))
	}
}
