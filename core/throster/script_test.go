package throster_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// record is a stored change: a new roster, or an operator's change that keeps
// the old one.
type record struct {
	version uint64
	roster  throster.Roster
}

// process is one incarnation of a VM; a restart makes another.
type process struct {
	self  throster.VM
	node  *throster.Node
	known []record
	dead  bool
}

// message is a call on its way, to a peer or to the store, or its answer.
type message struct {
	deliver func()
}

// script is a fleet whose every message is delivered, lost, repeated or held
// back as rapid draws it, with an exact observer.
type script struct {
	t        *rapid.T
	now      time.Duration
	store    []record
	vms      map[string]*process
	ids      []string
	flying   []message
	accepted map[uint64]time.Duration
	restarts uint64
	down     bool
}

func newScript(t *rapid.T, size int) *script {
	s := &script{t: t, vms: map[string]*process{}, accepted: map[uint64]time.Duration{}, now: time.Hour}
	for i := range size {
		s.ids = append(s.ids, fmt.Sprintf("vm%d", i))
		s.start(s.ids[i])
	}
	for _, id := range s.ids {
		s.readHead(s.vms[id], false)
		s.flush()
		s.join(s.vms[id])
		s.flush()
	}
	return s
}

func (s *script) start(id string) {
	s.restarts++
	self := throster.VM{ID: id, Incarnation: s.restarts}
	s.vms[id] = &process{self: self, node: throster.NewNode(self)}
}

func (s *script) instant() thclock.Instant { return thclock.At(s.now) }

func (s *script) send(f func()) { s.flying = append(s.flying, message{f}) }

func (s *script) flush() {
	for len(s.flying) > 0 {
		m := s.flying[0]
		s.flying = s.flying[1:]
		s.now += time.Millisecond
		m.deliver()
		s.observe()
	}
}

func (s *script) take(p *process, rs []record) {
	for _, r := range rs {
		if r.version == p.node.Version()+1 {
			p.node.Advance(r.version, r.roster)
			p.known = append(p.known, r)
		}
	}
}

// bootstrap gives a new process nothing, a peer's snapshot or the store's,
// which are of accepted versions only. Either may be late in coming.
func (s *script) bootstrap(p, peer *process) {
	switch rapid.IntRange(0, 2).Draw(s.t, "snapshot") {
	case 1:
		version, rosters := peer.node.Version(), peer.node.Rosters()
		if !peer.dead {
			s.send(func() { s.load(p, version, rosters) })
		}
	case 2:
		version := uint64(rapid.IntRange(0, len(s.store)).Draw(s.t, "version"))
		if _, ok := s.accepted[version]; ok {
			s.load(p, version, []throster.Roster{s.store[version-1].roster})
		}
	}
}

func (s *script) load(p *process, version uint64, rosters []throster.Roster) {
	if version > p.node.Version() {
		p.node.Restart(version, rosters)
		p.known = s.store[:version:version]
	}
}

// ask sends a question, as exchangeWith of package thagree does. The records
// of a bare answer could not be loaded.
func (s *script) ask(p *process, id string, bare bool) {
	sent, q := s.instant(), p.node.Ask()
	s.send(func() {
		peer := s.vms[id]
		if peer.dead {
			return
		}
		a := peer.node.Answer(s.instant(), q)
		rs := peer.known[min(q.Version, uint64(len(peer.known))):]
		if bare {
			rs = nil
		}
		s.send(func() {
			if !p.dead {
				s.take(p, rs)
				p.node.Answered(sent, a)
			}
		})
	})
}

// readHead reads the store. An older head than the process knew is offered by
// a store that has lost something; a read that is merely late is not, because
// the table service is transactional.
func (s *script) readHead(p *process, older bool) {
	sent, had := s.instant(), p.node.Version()
	s.send(func() {
		rs := s.store
		if s.down {
			return
		}
		if older && had > 0 {
			rs = rs[:had-1]
		}
		s.send(func() {
			if !p.dead {
				s.take(p, rs)
				p.node.HeadRead(sent, had, uint64(len(rs)))
			}
		})
	})
}

// commit appends to the store if the process knows the head.
func (s *script) commit(p *process, roster throster.Roster) {
	r := record{version: p.node.Version() + 1, roster: roster}
	s.send(func() {
		if s.down || uint64(len(s.store)) != r.version-1 {
			return
		}
		s.store = append(s.store[:len(s.store):len(s.store)], r)
		s.send(func() {
			if !p.dead {
				s.take(p, []record{r})
			}
		})
	})
}

func (s *script) change(p *process) { s.commit(p, p.node.Roster()) }

func (s *script) join(p *process) {
	if v, ok := p.node.Roster().VM(p.self.ID); !ok || v.Incarnation < p.self.Incarnation {
		r := p.node.Roster().WithVM(p.self)
		s.commit(p, throster.NewRoster(p.node.Version()+1, r.VMs()))
	}
}

func (s *script) remove(p *process, id string) {
	r := p.node.Roster().WithoutVM(id)
	s.commit(p, throster.NewRoster(p.node.Version()+1, r.VMs()))
}

// observe checks what no VM can see: that nobody takes itself to know all that
// was accepted before a moment while lacking some of it.
func (s *script) observe() {
	for _, id := range s.ids {
		p := s.vms[id]
		if p.dead {
			continue
		}
		for v := p.node.Accepted(); v > 0; v-- {
			if _, ok := s.accepted[v]; ok {
				break
			}
			s.accepted[v] = s.now
			if v > uint64(len(s.store)) {
				s.t.Fatalf("%s takes version %d for accepted, the store has %d", id, v, len(s.store))
			}
		}
	}
	for _, id := range s.ids {
		p := s.vms[id]
		if at, ok := s.accepted[p.node.Version()+1]; ok && !p.dead && at < p.node.AsOf().Mono {
			s.t.Fatalf("%s at version %d takes itself to know all up to %v, but %d was accepted at %v",
				id, p.node.Version(), p.node.AsOf().Mono, p.node.Version()+1, at)
		}
	}
}

// step makes one thing happen that rapid draws.
func (s *script) step() {
	s.now += time.Duration(rapid.IntRange(1, 60).Draw(s.t, "millis")) * time.Millisecond
	p := s.vms[rapid.SampledFrom(s.ids).Draw(s.t, "vm")]
	peer := s.vms[rapid.SampledFrom(s.ids).Draw(s.t, "peer")]
	kind := rapid.IntRange(0, 39).Draw(s.t, "kind")
	switch {
	case kind < 20:
		s.deliver(kind < 18, kind == 17)
	case p.dead && kind < 30:
		s.start(p.self.ID)
		s.bootstrap(s.vms[p.self.ID], peer)
	case p.dead:
	case kind < 30:
		s.ask(p, peer.self.ID, kind == 29)
	case kind < 32:
		s.readHead(p, kind == 31)
	case kind < 35:
		s.change(p)
	case kind < 36:
		s.join(p)
	case kind < 37 && peer.dead:
		s.remove(p, peer.self.ID)
	case kind < 38:
		p.dead = true
	case kind < 39:
		s.down = !s.down
	}
	s.observe()
}

// deliver takes any message on its way: it arrives or is lost, and may stay on
// its way to arrive again.
func (s *script) deliver(arrives, again bool) {
	if len(s.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.flying)-1).Draw(s.t, "message")
	m := s.flying[i]
	if !again {
		s.flying = append(s.flying[:i:i], s.flying[i+1:]...)
	}
	if arrives {
		m.deliver()
	}
}
