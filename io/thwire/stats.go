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

func (t *callCounters) stats() Stats {
	return Stats{
		Calls: t.calls.Load(), Failed: t.failed.Load(),
		BytesSent: t.sent.Load(), BytesReceived: t.received.Load(), HeaderBytes: t.headers.Load(),
	}
}

// record counts one call with the sizes of its bodies and headers.
func (t *callCounters) record(sent, heard, headers int, failed bool) {
	t.calls.Add(1)
	t.sent.Add(uint64(sent))
	t.received.Add(uint64(heard))
	t.headers.Add(uint64(headers))
	if failed {
		t.failed.Add(1)
	}
}

// Stats returns what the client has sent and heard.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Stats returns what the server has sent and heard.
func (s *Server) Stats() Stats { return s.counters.stats() }
