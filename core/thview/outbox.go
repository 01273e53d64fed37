package thview

import (
	"maps"
	"slices"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

// outbox collects the content of this VM's next notices.
type outbox struct {
	vmKey       thfleet.VMKey
	startMillis uint64
	sequence    uint32
	identity    thfleet.Identity
	// loads holds the targets at which the number of this VM's requests in
	// flight has changed, with the new number.
	loads map[thfleet.Key]uint16
	// results holds the results of attempts by target.
	results map[thfleet.Key][]thfleet.AttemptResult
	// refused holds the totals that have risen. They are sent with the next notices,
	// but don't cause one by themselves.
	refused map[thfleet.Key]uint32
	// leaving holds the targets that have said that they leave, with their start times.
	leaving map[thfleet.Key]int64
	// reports holds the loads that targets reported and of which others should know. They are
	// sent with the next notice on the target, but don't cause one by themselves.
	reports map[thfleet.Key]pendingReport
	crashes []thfleet.Crash
	lost    []thfleet.Loss
	// repeats holds the notices that are sent again, in the order in which they are due.
	repeats []evidenceRepeat
}

func newOutbox(o Options) outbox {
	return outbox{
		vmKey: thfleet.VMKeyOf(o.Self.ID), startMillis: o.StartMillis, identity: o.Self,
		loads:   make(map[thfleet.Key]uint16),
		results: make(map[thfleet.Key][]thfleet.AttemptResult),
		leaving: make(map[thfleet.Key]int64),
		reports: make(map[thfleet.Key]pendingReport),
		refused: make(map[thfleet.Key]uint32),
	}
}

// addResult adds the result of an attempt to the next notice on its target.
func (o *outbox) addResult(r thfleet.AttemptResult) {
	o.results[r.Target] = append(o.results[r.Target], r)
}

// Pending reports whether there are notices to send, and whether one is urgent because
// it includes evidence against a target or a VM, which must not wait.
func (v *View) Pending() (pending, urgent bool) {
	o := &v.outbox
	if len(o.lost)+len(o.crashes)+len(o.leaving) > 0 {
		return true, true
	}
	for _, results := range o.results {
		if slices.ContainsFunc(results, func(r thfleet.AttemptResult) bool { return r.Outcome.IsNegative() }) {
			return true, true
		}
	}
	return len(o.loads)+len(o.results) > 0, false
}

// Outgoing is a notice with the VMs that it concerns.
type Outgoing struct {
	Notice  thfleet.Notice
	Members []thfleet.Member
	Urgent  bool
	// DirectOnly is set if the notice is not sent to the VMs that it reaches through relays.
	DirectOnly bool
}

// Recipients returns the VMs that the notice is sent to directly, and the relays.
func (o Outgoing) Recipients(f *thfleet.Fleet) (direct, relays []thfleet.Peer) {
	direct, relays = f.SelectRecipients(o.Members, o.Notice.Sequence, o.Urgent)
	if o.DirectOnly {
		return direct, nil
	}
	return direct, relays
}

// TakeNotices returns the notices with the content of the outbox, and empties it. What
// concerns a target goes to the VMs that use it.
func (v *View) TakeNotices(now thclock.Instant) []Outgoing {
	o := &v.outbox
	forAll := Outgoing{Notice: v.newNotice(), Members: v.Fleet.Live()}
	forAll.Notice.Crashes, forAll.Notice.Lost = o.crashes, o.lost
	forAll.Urgent = len(o.crashes)+len(o.lost) > 0
	var outgoing []Outgoing
	for _, key := range o.pendingTargets() {
		t := v.targetsByKey[key]
		if t == nil {
			continue // the target is gone, so nobody uses what is known of it
		}
		members, all := v.users(t)
		if len(members) == 0 {
			continue // no VM uses a target of an evacuated zone
		}
		if all {
			o.moveTo(now, &forAll, key)
			continue
		}
		n := Outgoing{Notice: v.newNotice(), Members: members}
		o.moveTo(now, &n, key)
		outgoing = append(outgoing, n)
	}
	n := forAll.Notice
	if len(n.Loads)+len(n.Results)+len(n.LeavingTargets)+len(n.Crashes)+len(n.Lost) > 0 || len(outgoing) == 0 && len(o.refused) > 0 {
		outgoing = append(outgoing, forAll)
	}
	if len(outgoing) > 0 {
		outgoing[0].Notice.Refused = totals(o.refused)
		clear(o.refused)
	}
	for _, n := range outgoing {
		o.scheduleRepeat(now, n.Notice)
	}
	o.crashes, o.lost = nil, nil
	clear(o.loads)
	clear(o.results)
	clear(o.leaving)
	clear(o.reports)
	return outgoing
}

// pendingTargets returns the targets of which there is something to send.
func (o *outbox) pendingTargets() []thfleet.Key {
	pending := make(map[thfleet.Key]struct{}, len(o.loads)+len(o.results))
	for k := range o.loads {
		pending[k] = struct{}{}
	}
	for k := range o.results {
		pending[k] = struct{}{}
	}
	for k := range o.leaving {
		pending[k] = struct{}{}
	}
	return slices.Collect(maps.Keys(pending))
}

// moveTo adds what is to be sent of a target to a notice.
func (o *outbox) moveTo(now thclock.Instant, n *Outgoing, key thfleet.Key) {
	if inFlight, ok := o.loads[key]; ok {
		n.Notice.Loads = append(n.Notice.Loads, thfleet.Load{Target: key, InFlight: inFlight})
	}
	o.addReport(now, &n.Notice, key)
	if startMillis, ok := o.leaving[key]; ok {
		n.Notice.LeavingTargets = append(n.Notice.LeavingTargets, thfleet.LeavingTarget{Target: key, StartMillis: startMillis})
		n.Urgent = true
	}
	for _, r := range o.results[key] {
		n.Notice.Results = append(n.Notice.Results, r)
		n.Urgent = n.Urgent || r.Outcome.IsNegative()
	}
}

// totals converts counts to the form used in notices.
func totals(counts map[thfleet.Key]uint32) []thfleet.KeyCount {
	if len(counts) == 0 {
		return nil
	}
	ts := make([]thfleet.KeyCount, 0, len(counts))
	for k, c := range counts {
		ts = append(ts, thfleet.KeyCount{Key: k, Count: c})
	}
	return ts
}

// newNotice returns a notice of this VM without content.
func (v *View) newNotice() thfleet.Notice {
	o := &v.outbox
	o.sequence++
	return thfleet.Notice{From: o.vmKey, StartMillis: o.startMillis, Sequence: o.sequence}
}

// Introduction returns a notice that only carries this VM's identity. If
// wantsIdentity is set, it asks the receiver for its own.
func (v *View) Introduction(wantsIdentity bool) thfleet.Notice {
	n := v.newNotice()
	n.Identity, n.WantsIdentity = &v.outbox.identity, wantsIdentity
	return n
}

// ProbeAnswer returns a notice that answers a probe.
func (v *View) ProbeAnswer(now thclock.Instant) thfleet.Notice {
	n := v.Introduction(false)
	n.LiveHash, n.NewEra = v.Fleet.LiveHash(), v.Fleet.NewEra(now)
	return n
}

// TokenRequest returns a notice that asks another VM for tokens.
func (v *View) TokenRequest(r thfleet.TokenRequest) thfleet.Notice {
	n := v.newNotice()
	n.TokenRequest = &r
	return n
}

// Tokens returns a notice that answers another VM's request for tokens.
func (v *View) Tokens(t thfleet.Tokens) thfleet.Notice {
	n := v.newNotice()
	n.Tokens = &t
	return n
}

// Announcement returns a notice with the versions of the store's data that this VM
// holds, and when the store was last read for them: by this VM, whose own reads are as old
// as given, or by another one.
func (v *View) Announcement(now thclock.Instant, versions thfleet.StoreVersions, own thfleet.ReadAges) thfleet.Notice {
	reads := own.Reads(now).Max(v.Fleet.LastReads(versions))
	v.Fleet.RecordAnnouncement(now, versions, reads)
	n := v.newNotice()
	n = n.WithVersions(versions)
	n.NewEra = v.Fleet.NewEra(now)
	if ages := reads.Ages(now); ages != (thfleet.ReadAges{}) {
		n.ReadAges = &ages
	}
	return n
}

// RelayMembers returns the VMs that a notice concerns which this VM is asked to
// forward.
func (v *View) RelayMembers(n thfleet.Notice) []thfleet.Member {
	if n.IsForAll() {
		return v.Fleet.Live()
	}
	var members []thfleet.Member
	add := func(key thfleet.Key) {
		t := v.targetsByKey[key]
		if t == nil {
			return
		}
		users, _ := v.users(t)
		for _, m := range users {
			if !slices.ContainsFunc(members, func(o thfleet.Member) bool { return o.Key == m.Key }) {
				members = append(members, m)
			}
		}
	}
	for _, l := range n.Loads {
		add(l.Target)
	}
	for _, r := range n.Results {
		add(r.Target)
	}
	for _, l := range n.LeavingTargets {
		add(l.Target)
	}
	return members
}

// Probe returns the VMs that this VM has to probe now. It must be called every
// thfleet.ProbeInterval. The VMs that were found silent go into the next notice.
func (v *View) Probe(now thclock.Instant) (probe, lost []thfleet.Peer) {
	v.dropLostParts(now)
	v.refreshAllCold(now)
	probe, lost = v.Fleet.Probe(now)
	for _, p := range lost {
		v.outbox.lost = append(v.outbox.lost, thfleet.LossOf(p))
	}
	return probe, lost
}

// RepeatLosses adds those of the VMs to the next notice that are still lost.
func (v *View) RepeatLosses(lost []thfleet.Peer) {
	for _, p := range lost {
		if v.Fleet.IsStillLost(p) {
			v.outbox.lost = append(v.outbox.lost, thfleet.LossOf(p))
		}
	}
}
