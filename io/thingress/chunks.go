package thingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"tamarackhollow/core/thmessage"

	"github.com/valyala/fasthttp"
)

const (
	// firstPieceBytes is the size of a body's first piece. Each further piece is as long as all
	// before it together, up to maxPieceBytes, so that a body takes little more memory than what
	// has arrived of it.
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 256 << 10
	// maxChunkOverhead bounds the bytes of chunk headers that are not paid for by data: 16
	// bytes a chunk and twice its length are free.
	maxChunkOverhead   = 16 << 10
	freeBytesPerChunk  = 16
	freeBytesPerByte   = 2
	maxChunkSizeDigits = 15
)

var (
	errChunkHeader   = errors.New("malformed chunk header")
	errChunkEnd      = errors.New("no line end after a chunk")
	errChunkOverhead = errors.New("too many bytes in the headers of chunks")
)

// bodyReader reads a request's body into pieces. It allocates a piece only when bytes for it have
// arrived, and after it has been counted.
type bodyReader struct {
	input *bufio.Reader
	// grow counts the bytes of a piece before it is allocated, and reports whether there is
	// room for it.
	grow func(bytes int64) bool
	body thmessage.Body
	// received is called with the number of bytes that have arrived.
	received func(bytes int)
	// discards is set if the body is not kept.
	discards bool
	// length is that of the body so far, and room the unused part of its last piece.
	length int
	room   []byte
}

// read reads n bytes of the body. A piece is not longer than the bytes that are left, but at least
// minPiece.
func (r *bodyReader) read(n, minPiece int) error {
	for n > 0 {
		if _, err := r.input.Peek(1); err != nil {
			return unexpectedEnd(err)
		}
		m, err := r.readSome(n, minPiece)
		if err != nil {
			return unexpectedEnd(err)
		}
		r.received(m)
		r.length += m
		n -= m
	}
	return nil
}

// readSome reads some of the next n bytes.
func (r *bodyReader) readSome(n, minPiece int) (int, error) {
	if r.discards {
		return r.input.Discard(min(n, r.input.Buffered()))
	}
	if len(r.room) == 0 && !r.addPiece(max(n, minPiece)) {
		return 0, errBodyMemory
	}
	m, err := r.input.Read(r.room[:min(n, len(r.room))])
	last := len(r.body) - 1
	r.body[last] = r.body[last][:len(r.body[last])+m]
	r.room = r.room[m:]
	return m, err
}

// addPiece adds a piece of at most the given length, unless there is no room for it.
func (r *bodyReader) addPiece(longest int) bool {
	size := min(longest, max(firstPieceBytes, min(r.length, maxPieceBytes)))
	if !r.grow(int64(size)) {
		return false
	}
	r.room = make([]byte, size)
	r.body = append(r.body, r.room[:0])
	return true
}

// readChunks reads a chunked body of at most maxBytes, up to its trailer.
func (r *bodyReader) readChunks(maxBytes int) error {
	overhead := 0
	for {
		size, header, err := r.readChunkHeader()
		if err != nil {
			return err
		}
		if overhead = max(0, overhead+header-freeBytesPerChunk-freeBytesPerByte*size); overhead > maxChunkOverhead {
			return errChunkOverhead
		}
		if size == 0 {
			return nil
		}
		if size > maxBytes-r.length {
			return fasthttp.ErrBodyTooLarge
		}
		if err := r.read(size, firstPieceBytes); err != nil {
			return err
		}
		if err := r.readLineEnd(); err != nil {
			return err
		}
	}
}

// readChunkHeader reads the line before a chunk, and returns the chunk's length and that of the line.
func (r *bodyReader) readChunkHeader() (size, header int, err error) {
	line, err := r.input.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, 0, errChunkOverhead
	}
	if err != nil {
		return 0, 0, unexpectedEnd(err)
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return 0, 0, errChunkHeader
	}
	digits, _, isExtended := bytes.Cut(text, []byte(";"))
	if !isExtended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, ok = parseChunkSize(digits)
	if !ok {
		return 0, 0, errChunkHeader
	}
	return size, len(line), nil
}

// parseChunkSize returns the value of the hexadecimal digits, or false if they are no length.
func parseChunkSize(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, false
	}
	size := 0
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		size = size<<4 | int(c)
	}
	return size, true
}

// readLineEnd reads the line end after a chunk.
func (r *bodyReader) readLineEnd() error {
	for _, want := range "\r\n" {
		c, err := r.input.ReadByte()
		if err != nil {
			return unexpectedEnd(err)
		}
		if rune(c) != want {
			return errChunkEnd
		}
	}
	return nil
}

// unexpectedEnd returns the error, but io.ErrUnexpectedEOF for io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
