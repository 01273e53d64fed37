package thsend

import (
	"strconv"
	"strings"

	"tamarackhollow/core/thpick"

	"github.com/valyala/fasthttp"
)

// readLoad returns what the target of the answer says of its load: the numbers of running and
// waiting requests and of slots. It returns the zero report if the answer has no such field,
// several of them, or a malformed one.
func (c *Client) readLoad(r *fasthttp.Response) thpick.LoadReport {
	name := c.options.HeaderNames.ServerLoad
	if name == "" {
		return thpick.LoadReport{}
	}
	values := r.Header.PeekAll(name)
	if len(values) != 1 {
		return thpick.LoadReport{}
	}
	parts := strings.Split(string(values[0]), ",")
	if len(parts) != 3 {
		return thpick.LoadReport{}
	}
	var counts [3]int
	for i, part := range parts {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, 16)
		if err != nil {
			return thpick.LoadReport{}
		}
		counts[i] = int(n)
	}
	if counts[2] == 0 {
		return thpick.LoadReport{}
	}
	return thpick.LoadReport{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}
