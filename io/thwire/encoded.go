package thwire

import (
	"encoding/json"

	"tamarackhollow/core/therror"

	"github.com/valyala/fasthttp"
)

// Encoded is an answer that was encoded before, so that a handler that gives many
// callers the same answer encodes and compresses it once. It is immutable; the zero
// value is an empty JSON object.
type Encoded struct {
	plain, compressed []byte
}

// minCompressedBytes is the length from which answers are compressed. Shorter ones
// fit into one packet.
const minCompressedBytes = 1400

// Encode encodes an answer.
func Encode(answer any) (Encoded, error) {
	data, err := json.Marshal(answer)
	if err != nil {
		return Encoded{}, therror.Wrap(therror.Internal, err, "answer")
	}
	e := Encoded{plain: data}
	if len(data) >= minCompressedBytes {
		e.compressed = fasthttp.AppendGzipBytesLevel(nil, data, fasthttp.CompressBestSpeed)
	}
	return e, nil
}

// write writes the answer to the response, compressed if it is long and the caller
// accepts that.
func (e Encoded) write(c *fasthttp.RequestCtx) {
	c.SetContentType("application/json")
	switch {
	case e.compressed != nil && c.Request.Header.HasAcceptEncoding("gzip"):
		c.Response.Header.SetContentEncoding("gzip")
		c.SetBody(e.compressed)
	case e.plain == nil:
		c.SetBodyString("{}")
	default:
		c.SetBody(e.plain)
	}
}
