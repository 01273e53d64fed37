package thfleet_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

const (
	restoreStep = 25 * time.Millisecond
	// heartbeat is how often a target writes of itself, and expiry how long the store keeps the
	// entry of one that has ceased to.
	heartbeat, expiry = 1500 * time.Millisecond, 4500 * time.Millisecond
	// writtenAgainWithin is how long the operator and the targets may take to write again.
	writtenAgainWithin = 2 * time.Second
	// relayCheck is how often a VM checks whether it has to relay without having been told.
	relayCheck = time.Second
	// registerCheck is how often a VM checks whether it has to be listed in the store, which
	// tells it the era, and registeredRanks how many VMs of a zone are, as in package thsource.
	registerCheck, registeredRanks = time.Second, 2
)

// never is later than the end of each simulation.
const never = time.Duration(math.MaxInt64)

// process identifies one process of a target.
type process struct {
	id    string
	start int64
}

// restoreTarget is a target as it is, whatever the store has of it.
type restoreTarget struct {
	thtable.Target
	left bool
	// writesAt is when it next writes, or its entry is removed if it has left.
	writesAt time.Duration
	// leavesAt is when it leaves, after it has said so if it drains.
	leavesAt time.Duration
}

// storeContent is what the store holds at one time.
type storeContent struct {
	at      time.Duration
	version uint64
	table   uint64
	rows    map[string]thtable.Target
	// listedAt is when each process was listed, and goneAt when it said that it leaves or its row
	// was removed.
	listedAt, goneAt map[process]time.Duration
	// tableAt is when the table was written.
	tableAt time.Duration
}

func (c storeContent) clone() storeContent {
	c.rows, c.listedAt, c.goneAt = maps.Clone(c.rows), maps.Clone(c.listedAt), maps.Clone(c.goneAt)
	return c
}

// restoreVM is a VM with what it has read or fetched.
type restoreVM struct {
	fleet       *thfleet.Fleet
	id          thfleet.Identity
	incarnation uint64
	startedAt   time.Duration
	table       uint64
	targets     thtable.TargetSet
	changes     thtable.ChangeLog[thtable.TargetsChange]
	known       thtable.KnownTargets
	readAt      time.Duration
	checkAt     time.Duration
	relayAt     time.Duration
	registersAt time.Duration
	fetchAt     time.Duration
	asked       []int
	reads       bool
	sequence    uint32
	// downUntil is until when the VM does not run, and cutUntil until when it reaches neither the
	// store nor other VMs.
	downUntil, cutUntil time.Duration
	// used holds the processes that the VM uses, and knownGone those of which it has read that
	// they drain or have left.
	used, knownGone map[process]bool
	// client is what this VM has last read from the store itself, and clientAt when.
	client   thtable.TargetList
	clientAt time.Duration
	// clientSince is when it read the store first in this era.
	clientSince time.Duration
	// lateRead is a read that was answered in time but arrives at lateAt.
	lateRead *storeRead
}

// storeRead is the answer to a read.
type storeRead struct {
	arrivesAt time.Duration
	table     uint64
	list      thtable.TargetList
}

// restoreSimulation runs a fleet before a store that comes back from older copies of itself.
type restoreSimulation struct {
	t    *testing.T
	rng  *rand.Rand
	name string
	now  time.Duration

	vms   []*restoreVM
	index map[string]int
	// bound is the time within which what was acknowledged has to be in force.
	bound time.Duration
	// oldBuild is the VM that knows no eras; negative for none.
	oldBuild int

	store   storeContent
	era     uint64
	history []storeContent
	// awayUntil is until when the store does not answer, and restoredAt when it last came back.
	awayUntil, restoredAt time.Duration
	operatorTable         uint64
	operatorWritesAt      time.Duration
	targets               map[string]*restoreTarget
	quietFrom             time.Duration
	started               int
}

func newRestoreSimulation(t *testing.T, seed uint64, vms, zones int, bound time.Duration) *restoreSimulation {
	t.Helper()
	s := &restoreSimulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 46)), name: fmt.Sprintf("seed %d, %d VMs", seed, vms), now: time.Hour, index: map[string]int{}, bound: bound,
		oldBuild: -1, era: 3, targets: map[string]*restoreTarget{}, operatorTable: 1, quietFrom: never,
		store: storeContent{version: 1, table: 1, rows: map[string]thtable.Target{}, listedAt: map[process]time.Duration{}, goneAt: map[process]time.Duration{}},
	}
	for range 12 {
		s.startTarget()
	}
	for i := range vms {
		id := thfleet.Identity{ID: fmt.Sprintf("vm-%d-%d", seed, i), Zone: fmt.Sprintf("zone-%d", i%zones), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		s.index[id.ID] = i
		s.vms = append(s.vms, &restoreVM{id: id})
	}
	for i := range s.vms {
		s.startVM(i)
	}
	return s
}

func (s *restoreSimulation) millis(below int) time.Duration {
	return time.Duration(s.rng.IntN(below)) * time.Millisecond
}

// startTarget starts a target, sometimes under the ID of one that has left.
func (s *restoreSimulation) startTarget() {
	s.started++
	id := fmt.Sprintf("t%d", s.started)
	for _, other := range slices.Sorted(maps.Keys(s.targets)) {
		if _, listed := s.store.rows[other]; s.targets[other].left && !listed && s.rng.IntN(4) == 0 {
			id = other
			break
		}
	}
	start := int64(1)
	if before := s.targets[id]; before != nil {
		start = before.StartMillis + 1
	}
	s.targets[id] = &restoreTarget{Target: thtable.Target{ID: id, StartMillis: start}, writesAt: s.now, leavesAt: s.now + 4*time.Second + s.millis(30_000)}
}

// startVM starts a VM anew, without what it knew.
func (s *restoreSimulation) startVM(i int) {
	vm := s.vms[i]
	*vm = restoreVM{
		fleet: thfleet.New(vm.id), id: vm.id, incarnation: vm.incarnation + 1, startedAt: s.now, checkAt: s.now + 100*time.Millisecond + s.millis(250), relayAt: s.now, registersAt: s.now + registerCheck,
		used: map[process]bool{}, knownGone: map[process]bool{}, cutUntil: vm.cutUntil,
	}
	for j, other := range s.vms {
		if i != j && s.isUp(j) {
			vm.fleet.RecordPeer(at(s.now), other.id)
		}
	}
	s.send(i, thfleet.Notice{Identity: &vm.id}, s.others(i))
	for j, other := range s.vms {
		if i != j && s.reaches(i, j) && other.fleet != nil {
			other.sequence++
			vm.fleet.Receive(at(s.now), thfleet.Notice{From: thfleet.VMKeyOf(other.id.ID), StartMillis: other.incarnation, Sequence: other.sequence, Identity: &other.id})
		}
	}
	s.loadAtStart(i)
}

// loadAtStart lets a VM that starts take the newest of what two others hold, or else what the store
// holds.
func (s *restoreSimulation) loadAtStart(i int) {
	asked := 0
	for _, j := range s.rng.Perm(len(s.vms)) {
		if asked < 2 && j != i && s.reaches(i, j) && s.vms[j].table > 0 {
			s.fetchFrom(i, j)
			asked++
		}
	}
	if asked == 0 && s.storeAnswers(i) {
		s.apply(i, s.read())
	}
}

func (s *restoreSimulation) isUp(i int) bool { return s.now >= s.vms[i].downUntil }

func (s *restoreSimulation) isCut(i int) bool { return s.now < s.vms[i].cutUntil }

func (s *restoreSimulation) reaches(i, j int) bool {
	return i != j && s.isUp(i) && s.isUp(j) && !s.isCut(i) && !s.isCut(j)
}

func (s *restoreSimulation) storeAnswers(i int) bool { return s.now >= s.awayUntil && !s.isCut(i) }

func (s *restoreSimulation) others(i int) []int {
	all := make([]int, 0, len(s.vms))
	for j := range s.vms {
		if j != i {
			all = append(all, j)
		}
	}
	return all
}

func (s *restoreSimulation) send(i int, n thfleet.Notice, to []int) {
	vm := s.vms[i]
	vm.sequence++
	n.From, n.StartMillis, n.Sequence = thfleet.VMKeyOf(vm.id.ID), vm.incarnation, vm.sequence
	for _, j := range to {
		if !s.reaches(i, j) || s.vms[j].fleet == nil {
			continue
		}
		other := s.vms[j]
		other.fleet.Receive(at(s.now), n)
		if n.Announced != nil {
			other.relayAt, other.fetchAt = s.now, min(other.fetchAt, s.now) // it is woken
		}
	}
}

func (vm *restoreVM) versions() thfleet.StoreVersions {
	return thfleet.StoreVersions{Table: vm.table, Targets: vm.targets.List().Position}
}

// announce lets VM i announce what it holds to its zone and, if elsewhere is set, to the
// representatives of the other zones.
func (s *restoreSimulation) announce(i int, elsewhere bool) {
	vm := s.vms[i]
	versions := vm.versions()
	reads := vm.fleet.LastReads(versions)
	if vm.readAt > 0 {
		reads = reads.Max(thfleet.StoreReads{Table: at(vm.readAt), Targets: at(vm.readAt)})
	}
	vm.fleet.RecordAnnouncement(at(s.now), versions, reads)
	ages := reads.Ages(at(s.now))
	var to []int
	for j, other := range s.vms {
		if j != i && other.id.Zone == vm.id.Zone {
			to = append(to, j)
		}
	}
	if elsewhere {
		for _, p := range vm.fleet.Representatives() {
			to = append(to, s.index[p.Identity.ID])
		}
	}
	n := thfleet.Notice{ReadAges: &ages, NewEra: vm.fleet.NewEra(at(s.now))}.WithVersions(versions)
	if i == s.oldBuild {
		n.AnnouncedEra, n.NewEra = 0, nil
	}
	s.send(i, n, to)
}

// read returns what the store answers now.
func (s *restoreSimulation) read() storeRead {
	list := thtable.TargetList{Position: thtable.Position{Era: s.era, Version: s.store.version}, Targets: slices.Collect(maps.Values(s.store.rows))}
	return storeRead{table: s.store.table, list: list}
}

// apply lets VM i apply what it has read, as package thsource does.
func (s *restoreSimulation) apply(i int, r storeRead) {
	vm := s.vms[i]
	vm.table = max(vm.table, r.table)
	current := vm.targets.List()
	if i == s.oldBuild {
		r.list.Era = 0
	}
	r.list.Left = s.leftSince(vm, r.list)
	if vm.client.IsZero() || vm.client.Era != r.list.Era {
		vm.clientSince = s.now
	}
	vm.client, vm.clientAt = r.list, s.now
	if !r.list.IsAfter(current.Position) || r.list.Era == current.Era && len(r.list.Left) == 0 && thtable.EqualTargets(current.Targets, thtable.NewTargetSet(r.list).List().Targets) {
		return
	}
	set := thtable.NewTargetSet(r.list)
	if c, ok := vm.targets.Diff(set.List()); ok {
		if changed, err := vm.targets.WithChange(c); err == nil {
			s.hold(i, changed, c)
			return
		}
	}
	s.hold(i, set)
}

// leftSince returns the targets that have left since the VM last read the store, as the platform's
// client tells them.
func (s *restoreSimulation) leftSince(vm *restoreVM, list thtable.TargetList) (left []thtable.LeftTarget) {
	if list.Era != vm.client.Era {
		return nil
	}
	for _, t := range vm.client.Targets {
		if slices.ContainsFunc(list.Targets, func(o thtable.Target) bool { return o.ID == t.ID }) {
			continue
		}
		l := thtable.LeftTarget{ID: t.ID, StartMillis: t.StartMillis, Sequence: thtable.UnknownSequence, Era: list.Era}
		if s.now-vm.clientAt <= time.Second && s.now-vm.clientSince > heartbeat+writtenAgainWithin {
			l.Sequence = t.Sequence + 2 // it may have written since
		}
		left = append(left, l)
	}
	return left
}

// hold lets VM i hold a list of targets.
func (s *restoreSimulation) hold(i int, set thtable.TargetSet, changes ...thtable.TargetsChange) {
	vm := s.vms[i]
	vm.targets = set
	if len(changes) == 0 {
		vm.changes = thtable.ChangeLog[thtable.TargetsChange]{}
	}
	for _, c := range changes {
		vm.changes = vm.changes.With(c)
	}
	vm.known, _ = vm.known.WithList(at(s.now), set.List(), vm.fleet.NoteEra(at(s.now), set.List().Era))
	s.noteUsed(i)
}

// fetchFrom lets VM i fetch what VM j holds and it lacks.
func (s *restoreSimulation) fetchFrom(i, j int) {
	vm, from := s.vms[i], s.vms[j]
	vm.table = max(vm.table, from.table)
	list := from.targets.List()
	if i == s.oldBuild || j == s.oldBuild {
		list.Era = 0
	}
	if !list.IsAfter(vm.targets.List().Position) {
		return
	}
	if changes, ok := from.changes.Since(vm.targets.Digest(), len(list.Targets)); ok && i != s.oldBuild && j != s.oldBuild {
		changed, err := vm.targets.WithChanges(changes)
		assert.NilError(s.t, err, s.name)
		s.hold(i, changed, changes...)
		return
	}
	if list.Left = nil; j != s.oldBuild {
		list = from.known.WithKnowledge(list)
		maps.Copy(vm.knownGone, from.knownGone) // what that VM knows is told
	}
	s.hold(i, thtable.NewTargetSet(list))
}

// noteUsed records which targets VM i uses and of which it knows that they drain or have left.
func (s *restoreSimulation) noteUsed(i int) {
	vm := s.vms[i]
	used := map[process]bool{}
	for _, t := range vm.known.Targets() {
		if !t.Draining {
			used[process{t.ID, t.StartMillis}] = true
		}
	}
	for p := range vm.used {
		if target := s.targets[p.id]; !used[p] && (target.StartMillis > p.start || target.left || target.Draining) {
			vm.knownGone[p] = true
		}
	}
	vm.used = used
}

// writeTarget lets a target write of itself.
func (s *restoreSimulation) writeTarget(t *restoreTarget) {
	if s.now < s.awayUntil {
		t.writesAt = s.now + s.millis(200)
		return
	}
	s.store.version++
	p := process{t.ID, t.StartMillis}
	if t.left {
		delete(s.store.rows, t.ID)
		s.store.goneAt[p], t.writesAt = s.now, never
		return
	}
	t.Sequence++
	s.store.rows[t.ID] = t.Target
	noteFirst := func(times map[process]time.Duration) {
		if times[p] == 0 {
			times[p] = s.now
		}
	}
	noteFirst(s.store.listedAt)
	if t.Draining {
		noteFirst(s.store.goneAt)
	}
	t.writesAt = s.now + heartbeat
}

// stepTargets lets targets start, drain, leave and write.
func (s *restoreSimulation) stepTargets() {
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		if !t.left && s.now >= t.leavesAt && s.now < s.quietFrom {
			switch {
			case !t.Draining && s.rng.IntN(2) == 0:
				t.Draining, t.writesAt, t.leavesAt = true, s.now, s.now+3*time.Second+s.millis(4000)
			default:
				t.left, t.writesAt = true, s.now
			}
		}
		if s.now >= t.writesAt {
			s.writeTarget(t)
		}
	}
	working := 0
	for _, t := range s.targets {
		if !t.left && !t.Draining {
			working++
		}
	}
	if working < 10 && s.rng.IntN(10) == 0 {
		s.startTarget()
	}
}

// stepStore lets time pass at the store.
func (s *restoreSimulation) stepStore() {
	if s.now >= s.awayUntil && s.now >= s.operatorWritesAt {
		if s.store.table == s.operatorTable {
			s.operatorTable += 1 + uint64(s.rng.IntN(3))
		}
		s.store.version++
		s.store.table, s.store.tableAt = s.operatorTable, s.now
		s.operatorWritesAt = s.now + s.millis(2000)
	}
	if s.now%(100*time.Millisecond) == 0 && s.now >= s.awayUntil {
		c := s.store.clone()
		c.at = s.now
		s.history = append(s.history, c)
		s.history = s.history[max(0, len(s.history)-120):]
	}
	if s.awayUntil > s.restoredAt && s.now >= s.awayUntil {
		s.comeBack()
	}
}

// comeBack lets the store come back from a copy that is up to 8 s old. Everybody who has written
// since writes again within writtenAgainWithin; entries of targets that have left are removed by
// the store.
func (s *restoreSimulation) comeBack() {
	s.restoredAt = s.now
	if s.rng.IntN(10) == 0 {
		return // it was only away
	}
	s.era++
	oldest := s.now - s.millis(8000)
	k := slices.IndexFunc(s.history, func(c storeContent) bool { return c.at >= oldest })
	if k < 0 {
		k = len(s.history) - 1
	}
	s.store = s.history[k].clone()
	s.history = s.history[:k+1]
	if s.rng.IntN(3) == 0 {
		s.store.version += uint64(s.rng.IntN(300)) // others have written meanwhile
	}
	s.operatorWritesAt = s.now + s.millis(int(writtenAgainWithin.Milliseconds()))
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		t.writesAt = min(t.writesAt, s.now+s.millis(int(writtenAgainWithin.Milliseconds())))
		if _, listed := s.store.rows[id]; t.left && listed {
			t.writesAt = s.now + s.millis(int(expiry.Milliseconds()))
		}
	}
}

// stepVM lets VM i do what is due.
func (s *restoreSimulation) stepVM(i int) {
	vm := s.vms[i]
	if !s.isUp(i) {
		vm.fleet = nil
		return
	}
	if vm.fleet == nil {
		s.startVM(i)
	}
	vm.known = vm.known.WithEraSince(vm.fleet.NoteEra(at(s.now), vm.targets.List().Era))
	if vm.known.IsDue(at(s.now)) {
		vm.known, _ = vm.known.WithList(at(s.now), vm.targets.List(), at(s.now))
		s.noteUsed(i)
	}
	if r := vm.lateRead; r != nil && s.now >= r.arrivesAt && !s.isCut(i) {
		vm.lateRead = nil
		s.apply(i, *r)
		s.announce(i, true)
	}
	if vm.reads && s.storeAnswers(i) && s.store.table > vm.table { // the poll of the store returns
		vm.table = s.store.table
		s.announce(i, true)
	}
	if s.now >= vm.checkAt {
		s.checkRole(i)
	}
	if s.now >= vm.registersAt {
		vm.registersAt = s.now + registerCheck
		if i != s.oldBuild && vm.fleet.ZoneRank() < registeredRanks && s.storeAnswers(i) {
			vm.fleet.NoteEra(at(s.now), s.era)
			vm.registersAt = never
		}
	}
	if s.now >= vm.fetchAt {
		s.fetch(i)
	}
	if s.now >= vm.relayAt {
		vm.relayAt = s.now + relayCheck
		if vm.fleet.IsRelayDue(at(s.now), vm.fleet.Role(at(s.now), at(vm.startedAt)), vm.versions()) {
			s.announce(i, false)
		}
	}
}

// checkRole lets VM i read the store if it is the reader. Some answers take long.
func (s *restoreSimulation) checkRole(i int) {
	vm := s.vms[i]
	vm.reads = vm.fleet.Role(at(s.now), at(vm.startedAt)) == thfleet.Reader
	vm.checkAt = s.now + roleCheck
	if !vm.reads {
		return
	}
	if !s.storeAnswers(i) || vm.lateRead != nil {
		return
	}
	vm.checkAt = s.now + thfleet.ReadInterval
	r := s.read()
	if s.rng.IntN(8) == 0 {
		r.arrivesAt = s.now + s.millis(400)
		vm.lateRead = &r
		return
	}
	vm.readAt = s.now
	s.apply(i, r)
	s.announce(i, true)
}

// fetch lets a VM that knows of something newer ask others for it, one after the other.
func (s *restoreSimulation) fetch(i int) {
	vm := s.vms[i]
	vm.fetchAt = s.now + fetchCheck
	before := vm.versions()
	for _, p := range vm.fleet.FetchOrder(at(s.now), before) {
		j := s.index[p.Identity.ID]
		if slices.Contains(vm.asked, j) {
			continue
		}
		if s.reaches(i, j) {
			s.fetchFrom(i, j)
		}
		if vm.versions() != before {
			vm.asked, vm.relayAt, vm.fetchAt = nil, s.now, s.now
			return
		}
		vm.asked, vm.fetchAt = append(vm.asked, j), s.now+askNext
		return
	}
	vm.asked = nil
}

// probe lets a VM probe others, which answer, and report those that are lost.
func (s *restoreSimulation) probe(i int) {
	probed, lost := s.vms[i].fleet.Probe(at(s.now))
	for _, p := range probed {
		if j := s.index[p.Identity.ID]; s.vms[j].fleet != nil {
			n := thfleet.Notice{Identity: &s.vms[j].id}
			if j != s.oldBuild {
				n.NewEra = s.vms[j].fleet.NewEra(at(s.now))
			}
			s.send(j, n, []int{i})
		}
	}
	for j, other := range s.vms { // those that are not live are contacted again
		if other.fleet != nil && s.isCut(i) == s.isCut(j) && s.rng.IntN(len(s.vms)) == 0 {
			s.send(j, thfleet.Notice{Identity: &other.id}, []int{i})
		}
	}
	if len(lost) == 0 {
		return
	}
	var n thfleet.Notice
	for _, p := range lost {
		n.Lost = append(n.Lost, thfleet.LossOf(p))
	}
	s.send(i, n, s.others(i))
}

// run lets the time pass and checks the promises at each step.
func (s *restoreSimulation) run(span time.Duration) {
	for until := s.now + span; s.now < until; s.now += restoreStep {
		s.stepStore()
		s.stepTargets()
		for i, vm := range s.vms {
			if vm.fleet != nil && s.isUp(i) && !s.isCut(i) && s.now%time.Second == time.Duration(i%40)*restoreStep {
				s.probe(i)
			}
		}
		for _, i := range s.rng.Perm(len(s.vms)) {
			s.stepVM(i)
		}
		for i := range s.vms {
			if s.vms[i].fleet != nil {
				s.check(i)
			}
		}
	}
}

// restore lets the store be away for a moment and come back from an older copy, beside other
// trouble.
func (s *restoreSimulation) restore() {
	s.awayUntil = s.now + 50*time.Millisecond + s.millis(1200)
	switch s.rng.IntN(5) {
	case 0: // a part of the VMs is cut off
		for _, i := range s.rng.Perm(len(s.vms))[:1+s.rng.IntN(len(s.vms)/3)] {
			s.vms[i].cutUntil = s.now + 500*time.Millisecond + s.millis(5000)
		}
	case 1: // the reader ends as the store comes back
		for _, vm := range s.vms {
			if vm.reads {
				vm.downUntil = s.awayUntil + 300*time.Millisecond
			}
		}
	case 2: // many VMs restart
		for _, i := range s.rng.Perm(len(s.vms))[:1+s.rng.IntN(len(s.vms)/2)] {
			s.vms[i].downUntil = s.now + s.millis(1500)
		}
	case 3:
		if s.rng.IntN(3) == 0 { // all VMs restart, and nobody remembers anything
			for _, vm := range s.vms {
				vm.downUntil = s.now + 200*time.Millisecond + s.millis(300)
			}
		}
	}
}

// drill restores the store once, or several times within a second, and lets everything settle.
func (s *restoreSimulation) drill() {
	before := make([]map[process]bool, len(s.vms))
	s.restore()
	for i, vm := range s.vms {
		if s.isUp(i) && !s.isCut(i) {
			before[i] = vm.used
		}
	}
	incarnations := make([]uint64, len(s.vms))
	for i, vm := range s.vms {
		incarnations[i] = vm.incarnation
	}
	again := s.rng.IntN(4)
	for step := time.Duration(0); step < 9*time.Second; step += restoreStep {
		if again > 0 && s.now >= s.awayUntil && s.restoredAt >= s.awayUntil && s.now < s.awayUntil+700*time.Millisecond && s.rng.IntN(8) == 0 {
			s.awayUntil, again = s.now+50*time.Millisecond+s.millis(200), again-1
		}
		s.run(restoreStep)
		for i, vm := range s.vms {
			if before[i] != nil && vm.fleet != nil && vm.incarnation == incarnations[i] && !s.isCut(i) && i != s.oldBuild {
				s.checkStillUsed(i, before[i])
			}
		}
	}
}
