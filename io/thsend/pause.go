package thsend

import (
	"math"
	"strconv"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"

	"github.com/valyala/fasthttp"
)

// maxPause is the longest pause that a target gets. A longer one is taken for this one.
const maxPause = 24 * time.Hour

// readPause returns until when the target of the answer wants no further requests from this
// VM: a rejection with status 503 may say so in Retry-After, in seconds. It returns the zero
// Instant if the answer doesn't, and an error of the kind MessageMalformed if the value can't
// be read; dates are not taken, since the target's clock may differ.
func (c *Client) readPause(r *fasthttp.Response) (thclock.Instant, error) {
	values := r.Header.PeekAll(fasthttp.HeaderRetryAfter) // Peek may return nil for an empty value
	if r.StatusCode() != fasthttp.StatusServiceUnavailable || len(values) == 0 {
		return thclock.Instant{}, nil
	}
	text := values[0]
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
		return thclock.Instant{}, therror.New(therror.MessageMalformed, "Retry-After is %q, not a number of seconds", text)
	}
	pause := time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	return c.options.Clock.Now().Add(pause), nil
}
