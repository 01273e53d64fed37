// Package thgossip exchanges notices between VMs as UDP datagrams. What one VM
// observes of a target reaches the VMs that use it within a round trip; that a VM joins,
// leaves or is lost reaches all. A lost datagram does little harm: counts are sent as
// totals, and a VM that seems to be lost is probed again.
package thgossip

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thview"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxHold is how long the rate may hold back pending notices. After that they are
	// sent in any case, so that other VMs' view of this one is at most that old.
	maxHold = time.Second
	// introductionInterval is the least time between two introductions to all VMs that
	// are not live.
	introductionInterval = 2 * time.Second
	// lossRepeatDelay is the time after which a loss is reported a second time, in case
	// the first report was lost itself.
	lossRepeatDelay = 2 * time.Second
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 16 << 10
)

// LockedView gives access to the VM's view.
type LockedView interface {
	// WithView calls visit with the current time and the view, whose lock is held
	// during the call.
	WithView(visit func(now thclock.Instant, v *thview.View))
}

// Options configure an Exchange.
type Options struct {
	LockedView LockedView
	Log        thevent.Logger
	// OnAnnouncement is called, without a lock, after each received notice that
	// announces versions of the store's data, with their age; nil is allowed.
	OnAnnouncement func(ages thfleet.ReadAges)
	// OnTargetsLeave is called, without a lock, after a notice that reports leaving targets of
	// which this VM did not know it; nil is allowed.
	OnTargetsLeave func()
	// OnRosterDiffers is called, without a lock, if a VM has known other live VMs than
	// this one for a while; nil is allowed.
	OnRosterDiffers func(p thfleet.Peer)
}

// Stats count the datagrams since the start. Bytes include headers, and Sent
// includes SendErrors.
type Stats struct {
	Sent, SentBytes, Received, ReceivedBytes, Malformed, SendErrors uint64
	// RelayedBytes is the part of SentBytes that forwarded other VMs' notices.
	RelayedBytes uint64
}

// Exchange sends and receives notices. Create it with New.
type Exchange struct {
	options    Options
	socket     *net.UDPConn
	encode     cbor.EncMode
	wake       chan struct{}
	done       chan struct{}
	goroutines sync.WaitGroup

	mu    sync.Mutex
	stats Stats
	rate  thfleet.SendRate
	// heldSince is when the rate first held back the pending notices; zero if it does
	// not.
	heldSince thclock.Instant
	// introduceAt is when this VM may next introduce itself to all VMs that are not
	// live.
	introduceAt thclock.Instant

	questions questions
}

// New returns an exchange that uses the socket, and closes it in Close.
func New(options Options, socket *net.UDPConn) (*Exchange, error) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, err
	}
	return &Exchange{options: options, socket: socket, encode: encode, wake: make(chan struct{}, 1), done: make(chan struct{})}, nil
}

// Start starts sending and receiving notices.
func (x *Exchange) Start() {
	x.goroutines.Go(x.receiveLoop)
	x.goroutines.Go(x.sendLoop)
	x.goroutines.Go(x.probeLoop)
}

// Close tells all VMs that this one leaves, closes the socket and waits for the
// goroutines to end.
func (x *Exchange) Close() {
	close(x.done)
	x.sendOutgoing(func(_ thclock.Instant, v *thview.View) []thview.Outgoing {
		n := v.Introduction(false)
		n.Leaving = true
		return []thview.Outgoing{{Notice: n, Members: v.Fleet.Live(), Urgent: true}}
	})
	_ = x.socket.Close() // ends receiveLoop
	x.goroutines.Wait()
}

// Stats returns the counts since the start.
func (x *Exchange) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stats
}

// Wake makes the exchange check for pending notices.
func (x *Exchange) Wake() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends pending notices, within the rate, until Close.
func (x *Exchange) sendLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-x.done:
			return
		case <-x.wake:
		case <-timer.C:
		}
		delay, held := x.sendPending()
		if repeatDelay, waits := x.sendRepeats(); waits && (!held || repeatDelay < delay) {
			delay, held = repeatDelay, true
		}
		if held {
			timer.Reset(max(delay, time.Millisecond))
		}
	}
}

// sendRepeats sends the notices that are due to be sent again, if the rate has bytes to spare. If
// others wait, it returns true and the time after which to try again.
func (x *Exchange) sendRepeats() (delay time.Duration, waits bool) {
	x.sendOutgoing(func(now thclock.Instant, v *thview.View) []thview.Outgoing {
		var outgoing []thview.Outgoing
		spareAt := x.spareAt(now)
		if !now.Before(spareAt) {
			outgoing = v.TakeRepeats(now)
		}
		var next thclock.Instant
		if next, waits = v.NextRepeat(); waits {
			delay = max(next.Sub(now), spareAt.Sub(now))
		}
		return outgoing
	})
	return delay, waits
}

// spareAt returns when the rate has bytes to spare for notices that are sent again.
func (x *Exchange) spareAt(now thclock.Instant) thclock.Instant {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rate.SpareAt(now)
}

// sendPending sends the pending notices, if there are any and the rate allows it. If it
// does not, sendPending returns true and the time after which to try again.
func (x *Exchange) sendPending() (delay time.Duration, held bool) {
	x.sendOutgoing(func(now thclock.Instant, v *thview.View) []thview.Outgoing {
		pending, urgent := v.Pending()
		if !pending {
			return nil
		}
		if delay, held = x.hold(now, urgent); held {
			return nil
		}
		return v.TakeNotices(now)
	})
	return delay, held
}

// hold reports whether the rate holds back notices now, and for how long. It logs how
// long those were held back that may be sent now.
func (x *Exchange) hold(now thclock.Instant, urgent bool) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var heldFor time.Duration
	if x.heldSince != (thclock.Instant{}) {
		heldFor = now.Sub(x.heldSince)
	}
	if !x.rate.MaySend(now, urgent) && heldFor < maxHold {
		if x.heldSince == (thclock.Instant{}) {
			x.heldSince = now
		}
		return min(x.rate.NextAt(now).Sub(now), maxHold-heldFor), true
	}
	x.heldSince = thclock.Instant{}
	if heldFor >= loggedNoticeDelay {
		x.options.Log.Log(thevent.NoticeDelayed, thevent.F("delayMillis", heldFor.Milliseconds()))
	}
	return 0, false
}

// loggedNoticeDelay is the delay from which notices that the rate held back are logged.
const loggedNoticeDelay = 250 * time.Millisecond

// sending is a notice with its recipients.
type sending struct {
	notice         thfleet.Notice
	direct, relays []thfleet.Peer
	// relayed is how many datagrams the relays send.
	relayed int
}

// sendOutgoing sends the notices that take returns, to the VMs of other zones through
// relays, and charges them to the rate.
func (x *Exchange) sendOutgoing(take func(now thclock.Instant, v *thview.View) []thview.Outgoing) {
	var sendings []sending
	var sentAt thclock.Instant
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		sentAt = now
		for _, o := range take(now, v) {
			s := sending{notice: o.Notice}
			s.direct, s.relays = o.Recipients(v.Fleet)
			s.relayed = v.Fleet.RelayedDatagrams(o.Members, s.relays)
			if o.Notice.IsForAll() {
				s.direct = append(s.direct, v.Fleet.NewlyDiscovered(now)...)
			}
			sendings = append(sendings, s)
		}
	})
	for _, s := range sendings {
		length := x.sendTo(s.notice, s.direct)
		s.notice.Relay = true
		length = max(length, x.sendTo(s.notice, s.relays))
		x.charge(sentAt, length, len(s.direct)+len(s.relays)+s.relayed)
	}
}

// charge charges a notice of this VM to its rate.
func (x *Exchange) charge(now thclock.Instant, length, datagrams int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rate = x.rate.WithSent(now, length, datagrams)
}

// send sends the notice that take returns to the peers that it returns.
func (x *Exchange) send(take func(now thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer)) {
	var n thfleet.Notice
	var to []thfleet.Peer
	var sentAt thclock.Instant
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		sentAt = now
		n, to = take(now, v)
	})
	x.charge(sentAt, x.sendTo(n, to), len(to))
}

// AnnounceVersions sends the versions that this VM holds, and how long ago it has read them
// from the store itself, to the live VMs of its zone and, if it reads the store, to the
// leaders and deputies of the other zones.
func (x *Exchange) AnnounceVersions(versions thfleet.StoreVersions, own thfleet.ReadAges, elsewhere bool) {
	x.send(func(now thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		n := v.Announcement(now, versions, own)
		to := v.Fleet.LivePeersInZone(n.From)
		if elsewhere {
			to = append(to, v.Fleet.Representatives()...)
		}
		return n, to
	})
}

// IntroduceTo introduces this VM to others that it has just learned of.
func (x *Exchange) IntroduceTo(to []thfleet.Peer) {
	x.send(func(_ thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		return v.Introduction(true), to
	})
}

// introduceToSilent introduces this VM to the VMs that are not live.
func (x *Exchange) introduceToSilent() {
	x.send(func(now thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		x.mu.Lock()
		x.introduceAt = now.Add(introductionInterval)
		x.mu.Unlock()
		return v.Introduction(true), v.Fleet.SilentPeers()
	})
}

// mayIntroduce reports whether this VM may introduce itself to all VMs that are not
// live.
func (x *Exchange) mayIntroduce() (may bool) {
	x.options.LockedView.WithView(func(now thclock.Instant, _ *thview.View) {
		x.mu.Lock()
		defer x.mu.Unlock()
		may = !now.Before(x.introduceAt)
	})
	return may
}

// relay forwards a notice that another VM sent to the VMs of this zone that it concerns.
func (x *Exchange) relay(n thfleet.Notice) {
	var to []thfleet.Peer
	x.options.LockedView.WithView(func(_ thclock.Instant, v *thview.View) { to = v.Fleet.InZone(v.RelayMembers(n), n.From) })
	n.Relay = false
	length := x.sendTo(n, to)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.RelayedBytes += uint64((length + thfleet.HeaderBytes) * len(to))
}

// sendTo sends a notice to the VMs and returns its length in bytes, without headers.
func (x *Exchange) sendTo(n thfleet.Notice, to []thfleet.Peer) int {
	if len(to) == 0 {
		return 0
	}
	data, err := x.encode.Marshal(n)
	if err != nil {
		x.options.Log.Log(thevent.NoticeUnsent, thevent.F("error", err.Error()))
		return 0
	}
	failed := 0
	for _, p := range to {
		if err := x.write(data, p.Identity.Address); err != nil {
			failed++
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.Sent += uint64(len(to))
	x.stats.SentBytes += uint64((len(data) + thfleet.HeaderBytes) * len(to))
	x.stats.SendErrors += uint64(failed)
	return len(data)
}

func (x *Exchange) write(data []byte, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = x.socket.WriteToUDPAddrPort(data, a)
	return err
}

// receiveLoop handles datagrams until the socket is closed.
func (x *Exchange) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-x.done:
				return
			default:
				// An error may stem from a datagram that was sent to a port without
				// a listener; the socket still works.
				time.Sleep(time.Millisecond)
				continue
			}
		}
		x.receive(buffer[:size], from)
	}
}

// receive decodes and applies a notice, and does what it asks for: relay it, give
// tokens or introduce this VM.
func (x *Exchange) receive(data []byte, from netip.AddrPort) {
	var n thfleet.Notice
	err := cbor.Unmarshal(data, &n)
	x.mu.Lock()
	x.stats.Received++
	x.stats.ReceivedBytes += uint64(len(data) + thfleet.HeaderBytes)
	if err != nil {
		x.stats.Malformed++
	}
	x.mu.Unlock()
	if err != nil {
		return // counted in Malformed
	}
	var update thfleet.Update
	var introduction thfleet.Notice
	sender := thfleet.Peer{Identity: thfleet.Identity{Address: from.String()}}
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		update = v.Receive(now, n)
		switch {
		case n.Leaving || n.Relay: // a relayed notice comes from another VM than its sender
		case n.WantsIdentity:
			introduction = v.ProbeAnswer(now)
		case update.SenderUnknown || n.Identity != nil && (update.Joined || update.BecameLive):
			introduction = v.Introduction(update.SenderUnknown)
		}
	})
	if introduction.Identity != nil {
		x.send(func(thclock.Instant, *thview.View) (thfleet.Notice, []thfleet.Peer) {
			return introduction, []thfleet.Peer{sender}
		})
	}
	if n.TokenRequest != nil && !update.Duplicate {
		x.giveTokens(*n.TokenRequest, sender)
	}
	if n.Tokens != nil {
		x.questions.deliver(*n.Tokens)
	}
	if n.ShouldRelay(update) {
		x.relay(n)
	}
	x.handleMembership(n, update)
	if update.TargetsLeave && x.options.OnTargetsLeave != nil {
		x.options.OnTargetsLeave()
	}
	if _, ok := n.Versions(); ok && x.options.OnAnnouncement != nil {
		var ages thfleet.ReadAges
		if n.ReadAges != nil {
			ages = *n.ReadAges
		}
		x.options.OnAnnouncement(ages)
	}
}

// handleMembership logs what a notice says of the fleet's members, and does what follows
// for this VM.
func (x *Exchange) handleMembership(n thfleet.Notice, u thfleet.Update) {
	if u.Joined && n.Identity != nil {
		x.options.Log.Log(thevent.VMJoined, thevent.F("peer", n.Identity.ID), thevent.F("zone", n.Identity.Zone), thevent.F("address", n.Identity.Address))
	}
	for _, i := range u.Lost {
		x.options.Log.Log(thevent.VMLost, thevent.F("peer", i.ID), thevent.F("zone", i.Zone), thevent.F("reporter", uint64(n.From)))
	}
	if u.Healed && n.Identity != nil {
		x.options.Log.Log(thevent.VMHeard, thevent.F("peer", n.Identity.ID), thevent.F("zone", n.Identity.Zone))
		if x.mayIntroduce() {
			x.introduceToSilent() // there may be a path to other lost VMs as well
		}
	}
	if u.RosterDiffers && x.options.OnRosterDiffers != nil && n.Identity != nil {
		x.options.OnRosterDiffers(thfleet.Peer{Identity: *n.Identity, Key: n.From})
	}
	if u.ReportedLost {
		x.sendOutgoing(func(_ thclock.Instant, v *thview.View) []thview.Outgoing {
			return []thview.Outgoing{{Notice: v.Introduction(false), Members: v.Fleet.Live(), Urgent: true}}
		})
	}
}
