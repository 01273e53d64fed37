package thwire

import "sync/atomic"

// Stats holds the number of calls of a client or server and their sizes.
type Stats struct {
	Calls uint64 `json:"calls"`
	// Failed counts the calls that got no answer or one with an error.
	Failed uint64 `json:"failed"`
	// BytesSent and BytesReceived count bodies only.
	BytesSent     uint64 `json:"bytesSent"`
	BytesReceived uint64 `json:"bytesHeard"`
	// HeaderBytes counts the headers of requests and answers in a client, leaving
	// out calls without an answer, and those of requests in a server.
	HeaderBytes uint64 `json:"headerBytes"`
}

// callCounters counts calls for Stats. Its zero value is ready to use.
type callCounters struct {
	calls, failed, sent, received, headers atomic.Uint64
}

func (c *callCounters) stats() Stats {
	return Stats{
		Calls: c.calls.Load(), Failed: c.failed.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(), HeaderBytes: c.headers.Load(),
	}
}

// record counts one call with the sizes of its bodies and headers in bytes.
func (c *callCounters) record(sent, received, headers int, failed bool) {
	c.calls.Add(1)
	c.sent.Add(uint64(sent))
	c.received.Add(uint64(received))
	c.headers.Add(uint64(headers))
	if failed {
		c.failed.Add(1)
	}
}

// Stats returns the counts of the calls that the client has made.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Stats returns the counts of the calls that the server has answered. Calls that
// are too large or not valid HTTP are not counted.
func (s *Server) Stats() Stats { return s.counters.stats() }
