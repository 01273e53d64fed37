package thnode

import (
	"context"
	"time"

	"tamarackhollow/core/thevent"
)

const (
	// idleCloseShare is the share of the grace period after which idle connections
	// are closed, passOnShare the one after which requests are no longer passed on, and
	// requestWaitShare the one after which requests in flight are no longer waited for.
	idleCloseShare   = 0.6
	passOnShare      = 0.65
	requestWaitShare = 0.93
	// maxAcceptTime bounds the time after the signal to stop in which requests on open
	// connections are accepted, and maxPassOnTime that in which accepted ones are passed
	// on to targets. By the platform's specification, a request that is sent more than
	// three seconds after the signal and passed on must be answered, however long its
	// target takes.
	maxAcceptTime = 2800 * time.Millisecond
	maxPassOnTime = 2950 * time.Millisecond
	// leaveTimeout bounds the call that removes the VM from the store's list.
	leaveTimeout = time.Second
	// flushDelay is the time for the last answers and log lines to be written.
	flushDelay = 50 * time.Millisecond
)

// StopSchedule holds the deadlines of a planned stop.
type StopSchedule struct {
	// CloseIdleAt is when idle connections are closed and no further request is
	// accepted.
	CloseIdleAt time.Time
	// RefuseAt is when requests that have been accepted are no longer passed on to
	// targets but refused.
	RefuseAt time.Time
	// AbandonAt is when requests in flight are no longer waited for.
	AbandonAt time.Time
}

// NewStopSchedule returns the deadlines of a stop that begins at the given time and has
// to end within the grace period.
func NewStopSchedule(start time.Time, gracePeriod time.Duration) StopSchedule {
	grace := float64(gracePeriod)
	return StopSchedule{
		CloseIdleAt: start.Add(min(maxAcceptTime, time.Duration(idleCloseShare*grace))),
		RefuseAt:    start.Add(min(maxPassOnTime, time.Duration(passOnShare*grace))),
		AbandonAt:   start.Add(time.Duration(requestWaitShare * grace)),
	}
}

// Stop drains and stops the VM. First IsReady becomes false and each answer closes
// its connection. Idle connections are closed once the load balancer has had time
// to notice, and requests that have not reached a target soon after that are refused.
// Requests in flight may finish within the grace period.
// Further calls wait until the first one has ended.
func (n *Node) Stop() { n.stopping.Do(n.stop) }

func (n *Node) stop() {
	n.options.Log.Log(thevent.ProcessDraining, thevent.F("inFlight", n.ingress.InFlight()))
	schedule := NewStopSchedule(time.Now(), time.Duration(n.gracePeriod.Load()))
	n.ingress.Drain()
	n.ingress.RefuseFrom(schedule.RefuseAt)
	n.forwarder.StopWaiting()
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := n.source.Leave(leaveCtx); err != nil {
		n.options.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("during", "leave"))
	}
	cancel()
	for time.Now().Before(schedule.CloseIdleAt) && n.ingress.Connections() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	n.ingress.CloseIdle()
	requestCtx, cancel := context.WithDeadline(context.Background(), schedule.AbandonAt)
	n.ingress.WaitClosed(requestCtx)
	cancel()
	n.cancel()
	n.exchange.Close()
	n.options.Log.Log(thevent.ProcessStopped, thevent.F("inFlight", n.ingress.InFlight()), thevent.F("connections", n.ingress.Connections()))
	time.Sleep(flushDelay)
}
