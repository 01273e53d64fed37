package thsend

import (
	"math"
	"strconv"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/valyala/fasthttp"
)

// maxCold is the longest time for which a target is cold. A longer one is taken for this one.
const maxCold = 24 * time.Hour

// readCold returns until when the target of the answer is cold, which it may say in milliseconds;
// 0 means that it is warm. It returns the zero Instant if the answer doesn't say it or the value is
// not such a number: the target's row in the store tells it as well.
func (c *Client) readCold(r *fasthttp.Response) thclock.Instant {
	name := c.options.HeaderNames.Cold
	if name == "" {
		return thclock.Instant{}
	}
	millis, err := strconv.ParseFloat(string(r.Header.Peek(name)), 64)
	if err != nil || !(millis >= 0) || math.IsInf(millis, 0) {
		return thclock.Instant{}
	}
	return c.options.Clock.Now().Add(time.Duration(min(millis*float64(time.Millisecond), float64(maxCold))))
}
