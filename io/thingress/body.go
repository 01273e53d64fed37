package thingress

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmemory"
	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

// retryAfterBody is the time after which a caller may return whose request had no room. Bodies
// take seconds to arrive.
const retryAfterBody = time.Second

// paceBytes is how much of a body arrives between two looks at its pace, since a body may come in
// chunks of a byte.
const paceBytes = 1 << 10

// incoming is a request that has been read.
type incoming struct {
	request *thmessage.Request
	refusal *Refusal
	// held is what the request holds, nil if its head could not be read.
	held *holding
}

// readBody reads the body of the request, whose head has been read. It does not keep the body of a
// request that is refused anyway.
func (c *connection) readBody(q *fasthttp.Request, l limits, held *holding, isRefused bool, arrived thclock.Instant) (thmessage.Body, error) {
	const chunked = -1 // fasthttp's content length of a chunked request
	length := q.Header.ContentLength()
	if length > l.bodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	p := c.newPacer(held, time.Now().Add(min(bodyTimeout, c.server.timeLeft(q, arrived))))
	r := bodyReader{input: c.input, grow: held.grow, received: p.add, discards: isRefused}
	if length != chunked {
		return r.body, r.read(max(0, length), 0)
	}
	if err := r.readChunks(l.bodyBytes); err != nil {
		return nil, err
	}
	return r.body, unexpectedEnd(q.Header.ReadTrailer(c.input))
}

// pacer bounds the time to read a body by its pace.
type pacer struct {
	c    *connection
	held *holding
	pace thmemory.Pace
	// until is when the body has to be complete.
	until time.Time
	// bytes are those that pace does not have yet.
	bytes int
}

// newPacer begins to bound the reading of a body that has to be complete at the given time.
func (c *connection) newPacer(held *holding, until time.Time) *pacer {
	p := &pacer{c: c, held: held, pace: thmemory.NewPace(c.server.options.Clock.Now(), c.server.options.BodyPace), until: until}
	p.setDeadline()
	return p
}

// add counts bytes that have arrived.
func (p *pacer) add(bytes int) {
	if p.bytes += bytes; p.bytes < paceBytes {
		return
	}
	p.held.progress(p.bytes)
	p.pace = p.pace.WithReceived(p.c.server.options.Clock.Now(), p.bytes)
	p.bytes = 0
	p.setDeadline()
}

func (p *pacer) setDeadline() {
	until := p.until
	if deadline, ok := p.pace.Deadline(); ok {
		paced := time.Now().Add(deadline.Sub(p.c.server.options.Clock.Now()))
		if paced.Before(until) {
			until = paced
		}
	}
	p.c.setReadUntil(until)
}

// ownerOf returns to whom a request is charged.
func (s *Server) ownerOf(request *thmessage.Request, refusal *Refusal) thmemory.Owner {
	return thmemory.Owner{
		Customer: request.Customer.Name,
		HasKey:   refusal == nil && (request.Customer.Name != "" || !s.options.Table().RequiresKey()),
	}
}

// isFinal reports whether a request that has been refused by its head stays refused whatever happens
// while its body arrives.
func isFinal(refusal *Refusal) bool {
	return refusal != nil && !therror.Is(refusal.Err, therror.NotReady)
}
