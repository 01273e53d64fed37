package thmessage

import "io"

// Body is the body of a request in pieces, in their order. It is read into pieces so that no
// buffer has to grow, which would take memory for the old and the new one. The pieces must not be
// changed. The zero Body is empty.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// Bytes returns all bytes in one slice, which is a copy unless there is only one piece.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	joined := make([]byte, 0, b.Len())
	for _, piece := range b {
		joined = append(joined, piece...)
	}
	return joined
}

// Reader returns a reader of all bytes. Each reader starts at the first byte.
func (b Body) Reader() io.Reader { return &bodyReader{rest: b} }

type bodyReader struct {
	rest Body
	// offset is that of the next byte in the first piece of rest.
	offset int
}

func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) > 0 && r.offset == len(r.rest[0]) {
		r.rest, r.offset = r.rest[1:], 0
	}
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[0][r.offset:])
	r.offset += n
	return n, nil
}
