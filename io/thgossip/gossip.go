// Package thgossip carries notices between VMs as datagrams: what one VM
// learns of a target, or admits, is known to all others within a round trip.
// A lost datagram does little harm, since counts are sent as totals.
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
	// bytesPerSecond bounds what a VM sends: the two-year target for control
	// traffic.
	bytesPerSecond = 27_000
	// burstBytes is how far ordinary notices may run ahead of that rate, and
	// urgentBytes how much further bad news of targets may.
	burstBytes  = 27_000
	urgentBytes = 27_000
	// headerBytes is what a datagram takes besides its payload.
	headerBytes = 28
	// heartbeatInterval is how often a VM is heard at the least.
	heartbeatInterval = time.Second
	// introductionInterval is how often a VM that is not heard is greeted.
	introductionInterval = 2 * time.Second
	// maxDatagramBytes bounds a datagram that is taken, in bytes.
	maxDatagramBytes = 16 << 10
)

// LockedView gives access to the VM's view under its lock.
type LockedView interface {
	With(visit func(now thclock.Instant, v *thview.View))
}

// Options are what an Exchange is made of.
type Options struct {
	View LockedView
	Log  thevent.Logger
	// OnAnnouncement is called, without a lock, after a notice that told of a reading.
	OnAnnouncement func()
}

// Stats count the exchange's traffic.
type Stats struct {
	Sent, SentBytes, Received, ReceivedBytes, Malformed, SendErrors uint64
}

// Exchange sends and takes notices. Make one with New.
type Exchange struct {
	options    Options
	socket     *net.UDPConn
	encode     cbor.EncMode
	wake       chan struct{}
	done       chan struct{}
	goroutines sync.WaitGroup

	mu    sync.Mutex
	stats Stats
	// tokens are the bytes that may be sent; they were counted at refilled.
	tokens       float64
	refilledAt   time.Time
	broadcastAt  time.Time
	introducedAt map[thfleet.VMKey]time.Time
	silent       map[string]bool
}

// New returns an exchange on the socket, which becomes its own.
func New(o Options, socket *net.UDPConn) (*Exchange, error) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, err
	}
	return &Exchange{
		options: o, socket: socket, encode: encode, wake: make(chan struct{}, 1), done: make(chan struct{}),
		tokens: burstBytes, refilledAt: time.Now(),
		introducedAt: make(map[thfleet.VMKey]time.Time), silent: make(map[string]bool),
	}, nil
}

// Start begins to send and take notices.
func (x *Exchange) Start() {
	x.goroutines.Add(2)
	go x.receiveLoop()
	go x.sendLoop()
}

// Close tells the others that this VM leaves, and stops.
func (x *Exchange) Close() {
	close(x.done)
	var n thfleet.Notice
	x.options.View.With(func(_ thclock.Instant, v *thview.View) { n = v.Greeting(false) })
	n.Leaving = true
	x.broadcast(n, true)
	_ = x.socket.Close() // the receiver ends
	x.goroutines.Wait()
}

// Stats returns the traffic since the start.
func (x *Exchange) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stats
}

// Wake makes the exchange look for what is to be told.
func (x *Exchange) Wake() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// sendLoop tells the others what is pending, as far as the rate allows.
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

// nextDelay returns how long until the next greeting is due, or until the rate
// allows for what is pending.
func (x *Exchange) nextDelay() time.Duration {
	pending := false
	x.options.View.With(func(_ thclock.Instant, v *thview.View) { pending, _ = v.Pending() })
	x.mu.Lock()
	defer x.mu.Unlock()
	rest := heartbeatInterval - time.Since(x.broadcastAt)
	if pending {
		rest = min(rest, time.Duration(-x.tokens/bytesPerSecond*float64(time.Second)))
	}
	return max(rest, time.Millisecond)
}

// sendPending sends what is pending if the rate allows it.
func (x *Exchange) sendPending() {
	var n thfleet.Notice
	send, urgent := false, false
	x.options.View.With(func(_ thclock.Instant, v *thview.View) {
		var pending bool
		pending, urgent = v.Pending()
		if send = pending && x.maySend(urgent); send {
			n = v.Notice()
		}
	})
	if send {
		x.broadcast(n, urgent)
	}
}

// maySend reports whether the rate maySend a notice now.
func (x *Exchange) maySend(urgent bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.tokens = min(burstBytes, x.tokens+now.Sub(x.refilledAt).Seconds()*bytesPerSecond)
	x.refilledAt = now
	if urgent {
		return x.tokens > -urgentBytes
	}
	return x.tokens > 0
}

// AnnounceVersions tells the heard VMs of this zone what this VM knows that is current and,
// if the VM has read it itself, the leaders of the other zones.
func (x *Exchange) AnnounceVersions(r thfleet.Reading, read bool) {
	var n thfleet.Notice
	var to []thfleet.Peer
	x.options.View.With(func(now thclock.Instant, v *thview.View) {
		n = v.Greeting(false)
		to = v.Fleet.Zone(now, n.From)
		if read {
			to = append(to, v.Fleet.Leaders(now)...)
		}
	})
	n.Reading = &r
	x.sendTo(n, to)
}

// sendHeartbeat introduces this VM to those that it has not sent to for a while.
func (x *Exchange) sendHeartbeat() {
	x.mu.Lock()
	due := time.Since(x.broadcastAt) >= heartbeatInterval-time.Millisecond
	x.mu.Unlock()
	if !due {
		return
	}
	var n thfleet.Notice
	x.options.View.With(func(_ thclock.Instant, v *thview.View) { n = v.Greeting(false) })
	x.introduceToSilent(n)
	n.Identity = nil
	x.broadcast(n, false)
}

// introduceToSilent introduces this VM to those that are not heard.
func (x *Exchange) introduceToSilent(n thfleet.Notice) {
	var to []thfleet.Peer
	x.options.View.With(func(now thclock.Instant, v *thview.View) {
		for _, p := range v.Fleet.Peers() {
			heard := p.IsHeard(now)
			x.recordLiveness(p, heard)
			if !heard && x.startIntroduction(p.Key) {
				to = append(to, p)
			}
		}
	})
	x.sendTo(n, to)
}

// broadcast sends a notice to all VMs that are heard.
func (x *Exchange) broadcast(n thfleet.Notice, urgent bool) {
	var direct, relays []thfleet.Peer
	x.options.View.With(func(now thclock.Instant, v *thview.View) {
		direct, relays = v.Fleet.Route(now, n.Number, urgent)
	})
	x.mu.Lock()
	x.broadcastAt = time.Now()
	x.mu.Unlock()
	x.sendTo(n, direct)
	n.Relay = true
	x.sendTo(n, relays)
}

// Introduce greets the VMs that were just listed, rather than wait for the
// next greeting: after a restart, evidence reaches a VM only once it is known.
func (x *Exchange) Introduce() {
	var n thfleet.Notice
	x.options.View.With(func(_ thclock.Instant, v *thview.View) { n = v.Greeting(false) })
	x.introduceToSilent(n)
}

// relay passes a notice on within this VM's zone.
func (x *Exchange) relay(n thfleet.Notice) {
	var to []thfleet.Peer
	x.options.View.With(func(now thclock.Instant, v *thview.View) { to = v.Fleet.Zone(now, n.From) })
	n.Relay = false
	x.sendTo(n, to)
}

// startIntroduction reports whether a VM that is not heard is to be greeted again.
func (x *Exchange) startIntroduction(k thfleet.VMKey) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.introducedAt[k]) < introductionInterval {
		return false
	}
	x.introducedAt[k] = time.Now()
	return true
}

func (x *Exchange) recordLiveness(p thfleet.Peer, heard bool) {
	x.mu.Lock()
	was := x.silent[p.Identity.ID]
	x.silent[p.Identity.ID] = !heard
	x.mu.Unlock()
	switch {
	case !heard && !was && p.HeardAt != (thclock.Instant{}):
		x.options.Log.Log(thevent.VMLost, thevent.F("peer", p.Identity.ID), thevent.F("address", p.Identity.Address))
	case heard && was:
		x.options.Log.Log(thevent.VMHeard, thevent.F("peer", p.Identity.ID))
	}
}

func (x *Exchange) sendTo(n thfleet.Notice, to []thfleet.Peer) {
	if len(to) == 0 {
		return
	}
	data, err := x.encode.Marshal(n)
	if err != nil {
		x.options.Log.Log(thevent.NoticeUnsent, thevent.F("error", err.Error()))
		return
	}
	failed := 0
	for _, p := range to {
		if err = x.write(data, p.Identity.Address); err != nil {
			failed++
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tokens -= float64((len(data) + headerBytes) * len(to))
	x.stats.Sent += uint64(len(to))
	x.stats.SentBytes += uint64((len(data) + headerBytes) * len(to))
	x.stats.SendErrors += uint64(failed)
}

func (x *Exchange) write(data []byte, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = x.socket.WriteToUDPAddrPort(data, a)
	return err
}

// receiveLoop takes notices until the socket is closed.
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
				// A datagram to a port without a listener may be reported here.
				time.Sleep(time.Millisecond)
				continue
			}
		}
		x.receive(buffer[:size], from)
	}
}

func (x *Exchange) receive(data []byte, from netip.AddrPort) {
	var n thfleet.Notice
	err := cbor.Unmarshal(data, &n)
	x.mu.Lock()
	x.stats.Received++
	x.stats.ReceivedBytes += uint64(len(data) + headerBytes)
	if err != nil {
		x.stats.Malformed++
	}
	x.mu.Unlock()
	if err != nil {
		return // counted in Malformed
	}
	var news thfleet.News
	var reply thfleet.Notice
	x.options.View.With(func(now thclock.Instant, v *thview.View) {
		news = v.Receive(now, n)
		if news.Joined || news.Awake || news.Stranger && !n.Relay || n.Asking {
			reply = v.Greeting(news.Stranger)
		}
	})
	if n.Relay && !news.Again {
		x.relay(n)
	}
	if news.Joined && n.Identity != nil {
		x.options.Log.Log(thevent.VMJoined, thevent.F("peer", n.Identity.ID), thevent.F("zone", n.Identity.Zone), thevent.F("address", n.Identity.Address))
	}
	if reply.Identity != nil && !n.Leaving {
		x.sendTo(reply, []thfleet.Peer{{Identity: thfleet.Identity{Address: from.String()}}})
	}
	if n.Reading != nil && x.options.OnAnnouncement != nil {
		x.options.OnAnnouncement()
	}
}
