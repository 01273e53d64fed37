// Package thgossip exchanges notices between VMs as UDP datagrams. What one VM
// observes of a target, and the requests it admits, reach all others within a
// round trip. A lost datagram does little harm, since counts are sent as totals.
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
	// heartbeatInterval is the longest time between two broadcasts. So other VMs' view
	// of this one is at most that old, unless datagrams are lost.
	heartbeatInterval = time.Second
	// introductionInterval is the least time between two introductions to a VM
	// that is not live.
	introductionInterval = 2 * time.Second
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
	// announces versions of the store's data; nil is allowed.
	OnAnnouncement func()
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
	// heldSince is when the rate first held back the pending notice; zero if it does
	// not.
	heldSince thclock.Instant
	// heartbeatAt is when the next heartbeat is due.
	heartbeatAt time.Time
	// introducedAt holds the time of the last introduction to each silent VM.
	introducedAt map[thfleet.VMKey]time.Time
	// silent tells by ID whether a VM was not live when it was last checked.
	silent map[string]bool

	loans loans
}

// New returns an exchange that uses the socket, and closes it in Close.
func New(options Options, socket *net.UDPConn) (*Exchange, error) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, err
	}
	return &Exchange{
		options: options, socket: socket, encode: encode, wake: make(chan struct{}, 1), done: make(chan struct{}),
		introducedAt: make(map[thfleet.VMKey]time.Time), silent: make(map[string]bool),
	}, nil
}

// Start starts sending and receiving notices.
func (x *Exchange) Start() {
	x.goroutines.Add(2)
	go x.receiveLoop()
	go x.sendLoop()
}

// Close broadcasts that this VM leaves, closes the socket and waits for the
// goroutines to end.
func (x *Exchange) Close() {
	close(x.done)
	var n thfleet.Notice
	x.options.LockedView.WithView(func(_ thclock.Instant, v *thview.View) { n = v.Introduction(false) })
	n.Leaving = true
	x.broadcast(n, true)
	_ = x.socket.Close() // ends receiveLoop
	x.goroutines.Wait()
}

// Stats returns the counts since the start.
func (x *Exchange) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stats
}

// Wake makes the exchange check for pending notices without waiting for its
// timer.
func (x *Exchange) Wake() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends heartbeats and, within the rate, pending notices until Close.
func (x *Exchange) sendLoop() {
	defer x.goroutines.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-x.done:
			return
		case <-x.wake:
		case <-timer.C:
			x.sendHeartbeat()
		}
		x.sendPending()
		timer.Reset(x.nextDelay())
	}
}

// nextDelay returns the time until the next heartbeat is due or, if a notice is
// pending, until the rate allows sending it.
func (x *Exchange) nextDelay() time.Duration {
	pending := false
	var now thclock.Instant
	x.options.LockedView.WithView(func(n thclock.Instant, v *thview.View) {
		pending, _ = v.Pending()
		now = n
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	delay := time.Until(x.heartbeatAt)
	if pending {
		delay = min(delay, x.rate.NextAt(now).Sub(now))
	}
	return max(delay, time.Millisecond)
}

// sendPending broadcasts the pending notice if the rate allows it.
func (x *Exchange) sendPending() {
	var n thfleet.Notice
	send, urgent := false, false
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		var pending bool
		pending, urgent = v.Pending()
		if send = pending && x.maySend(now, urgent); send {
			n = v.TakeNotice()
		}
	})
	if send {
		x.broadcast(n, urgent)
	}
}

// maySend reports whether the rate allows a notice now, and records since when it does
// not.
func (x *Exchange) maySend(now thclock.Instant, urgent bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	may := x.rate.MaySend(now, urgent)
	if !may && x.heldSince == (thclock.Instant{}) {
		x.heldSince = now
	}
	return may
}

// loggedNoticeDelay is the delay from which a notice that the rate held back is
// logged.
const loggedNoticeDelay = 250 * time.Millisecond

// logDelay logs how long the rate held back the notice that is about to be sent.
func (x *Exchange) logDelay(now thclock.Instant) {
	x.mu.Lock()
	held := x.heldSince
	x.heldSince = thclock.Instant{}
	x.mu.Unlock()
	if delay := now.Sub(held); held != (thclock.Instant{}) && delay >= loggedNoticeDelay {
		x.options.Log.Log(thevent.NoticeDelayed, thevent.F("delayMillis", delay.Milliseconds()))
	}
}

// AnnounceVersions sends the versions that this VM holds to the live VMs of its
// zone and, if it has read them from the store itself, to the leaders of the
// other zones.
func (x *Exchange) AnnounceVersions(versions thfleet.StoreVersions, fromStore bool) {
	var n thfleet.Notice
	var to []thfleet.Peer
	var now thclock.Instant
	x.options.LockedView.WithView(func(t thclock.Instant, v *thview.View) {
		now, n = t, v.Introduction(false)
		to = v.Fleet.LivePeersInZone(now, n.From)
		if fromStore {
			to = append(to, v.Fleet.OtherZoneLeaders(now)...)
		}
	})
	n.StoreVersions = &versions
	x.charge(now, x.sendTo(n, to), len(to))
}

// sendHeartbeat introduces this VM to silent VMs and broadcasts a notice with what is
// pending, whatever the rate, unless another notice was broadcast within
// heartbeatInterval.
func (x *Exchange) sendHeartbeat() {
	x.mu.Lock()
	due := time.Until(x.heartbeatAt) <= time.Millisecond
	x.mu.Unlock()
	if !due {
		return
	}
	var introduction, n thfleet.Notice
	x.options.LockedView.WithView(func(_ thclock.Instant, v *thview.View) {
		introduction, n = v.Introduction(false), v.TakeNotice()
	})
	x.introduceToSilent(introduction)
	x.broadcast(n, false)
}

// introduceToSilent sends the introduction to the VMs that are not live and are
// due for one, and logs which VMs became silent or live.
func (x *Exchange) introduceToSilent(n thfleet.Notice) {
	var to []thfleet.Peer
	var now thclock.Instant
	x.options.LockedView.WithView(func(t thclock.Instant, v *thview.View) {
		now = t
		for _, p := range v.Fleet.Peers() {
			live := p.IsLive(now)
			x.recordLiveness(p, live)
			if !live && x.startIntroduction(p.Key) {
				to = append(to, p)
			}
		}
	})
	x.charge(now, x.sendTo(n, to), len(to))
}

// broadcast sends a notice to all live VMs, to some of them through relays in
// their zones.
func (x *Exchange) broadcast(n thfleet.Notice, urgent bool) {
	var direct, relays []thfleet.Peer
	var now thclock.Instant
	relayed := 0
	x.options.LockedView.WithView(func(t thclock.Instant, v *thview.View) {
		now = t
		direct, relays = v.Fleet.SelectRecipients(now, n.Sequence, urgent)
		relayed = v.Fleet.RelayedDatagrams(now, relays)
	})
	x.logDelay(now)
	x.mu.Lock()
	x.heartbeatAt = time.Now().Add(heartbeatInterval)
	x.mu.Unlock()
	length := x.sendTo(n, direct)
	n.Relay = true
	length = max(length, x.sendTo(n, relays))
	x.charge(now, length, len(direct)+len(relays)+relayed)
}

// charge charges a notice of this VM to its rate.
func (x *Exchange) charge(now thclock.Instant, length, datagrams int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rate = x.rate.WithSent(now, length, datagrams)
}

// Introduce introduces this VM to the VMs that are not live, such as those just
// listed, without waiting for the next heartbeat: after a restart, other VMs'
// evidence reaches this VM only once they know it.
func (x *Exchange) Introduce() {
	var n thfleet.Notice
	x.options.LockedView.WithView(func(_ thclock.Instant, v *thview.View) { n = v.Introduction(false) })
	x.introduceToSilent(n)
}

// relay forwards a notice to the other live VMs of this VM's zone.
func (x *Exchange) relay(n thfleet.Notice) {
	var to []thfleet.Peer
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) { to = v.Fleet.LivePeersInZone(now, n.From) })
	n.Relay = false
	length := x.sendTo(n, to)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.RelayedBytes += uint64((length + thfleet.HeaderBytes) * len(to))
}

// startIntroduction reports whether an introduction to a VM that is not live is
// due, and if so records it as sent.
func (x *Exchange) startIntroduction(k thfleet.VMKey) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.introducedAt[k]) < introductionInterval {
		return false
	}
	x.introducedAt[k] = time.Now()
	return true
}

// recordLiveness logs when a VM becomes silent and when it is live again. A VM
// that was never live is not logged as silent.
func (x *Exchange) recordLiveness(p thfleet.Peer, live bool) {
	x.mu.Lock()
	wasSilent := x.silent[p.Identity.ID]
	x.silent[p.Identity.ID] = !live
	x.mu.Unlock()
	switch {
	case !live && !wasSilent && p.LastHeardAt != (thclock.Instant{}):
		x.options.Log.Log(thevent.VMLost, thevent.F("peer", p.Identity.ID), thevent.F("address", p.Identity.Address))
	case live && wasSilent:
		x.options.Log.Log(thevent.VMHeard, thevent.F("peer", p.Identity.ID))
	}
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
		if err = x.write(data, p.Identity.Address); err != nil {
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

// receiveLoop receives notices until Close.
func (x *Exchange) receiveLoop() {
	defer x.goroutines.Done()
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

// receive decodes and applies a notice. It relays the notice if the sender asks for
// that, and replies with an introduction if the sender is new, live again or
// unknown, or wants one.
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
	var reply thfleet.Notice
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		update = v.Receive(now, n)
		if update.Joined || update.BecameLive || update.SenderUnknown && !n.Relay || n.WantsIdentity {
			reply = v.Introduction(update.SenderUnknown)
		}
	})
	if n.LoanRequest != nil && !update.Duplicate {
		x.lend(*n.LoanRequest, from.String())
	}
	if n.Loan != nil {
		x.loans.deliver(*n.Loan)
	}
	if n.Relay && !update.Duplicate {
		x.relay(n)
	}
	if update.Joined && n.Identity != nil {
		x.options.Log.Log(thevent.VMJoined, thevent.F("peer", n.Identity.ID), thevent.F("zone", n.Identity.Zone), thevent.F("address", n.Identity.Address))
	}
	if reply.Identity != nil && !n.Leaving {
		x.sendTo(reply, []thfleet.Peer{{Identity: thfleet.Identity{Address: from.String()}}})
	}
	if n.StoreVersions != nil && x.options.OnAnnouncement != nil {
		x.options.OnAnnouncement()
	}
}
