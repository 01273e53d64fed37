package thmessage_test

import (
	"testing"
	"testing/iotest"

	"tamarackhollow/core/thmessage"

	"gotest.tools/v3/assert"
)

// TestBodyInPiecesIsReadWhole guards against bytes that are lost or sent twice where pieces meet, and
// against a second attempt that begins where the first one ended.
func TestBodyInPiecesIsReadWhole(t *testing.T) {
	for _, b := range []thmessage.Body{nil, {nil}, {[]byte("hello")}, {[]byte("he"), nil, []byte("l"), []byte("lo")}} {
		want := b.Bytes()
		assert.Equal(t, b.Len(), len(want))
		for range 2 {
			assert.NilError(t, iotest.TestReader(b.Reader(), want))
		}
	}
}
