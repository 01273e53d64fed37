package thwire

import "sync/atomic"

// Stats count what went over a client or server. Bytes are those of bodies,
// without the headers.
type Stats struct {
	Calls         uint64 `json:"calls"`
	Failed        uint64 `json:"failed"`
	BytesSent     uint64 `json:"bytesSent"`
	BytesReceived uint64 `json:"bytesHeard"`
	HeaderBytes   uint64 `json:"headerBytes"`
}

// callCounters counts for Stats. The zero callCounters is ready.
type callCounters struct {
	calls, failed, sent, received, headers atomic.Uint64
}

func (c *callCounters) stats() Stats {
	return Stats{
		Calls: c.calls.Load(), Failed: c.failed.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(), HeaderBytes: c.headers.Load(),
	}
}

// record counts one call with the sizes of its bodies and headers.
func (c *callCounters) record(sent, received, headers int, failed bool) {
	c.calls.Add(1)
	c.sent.Add(uint64(sent))
	c.received.Add(uint64(received))
	c.headers.Add(uint64(headers))
	if failed {
		c.failed.Add(1)
	}
}

// Stats returns what the client has sent and heard.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Stats returns what the server has sent and heard.
func (s *Server) Stats() Stats { return s.counters.stats() }
