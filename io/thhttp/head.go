package thhttp

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// errLengthAndEncoding means that an answer has a Content-Length and a Transfer-Encoding, so that its
// end is ambiguous (RFC 9112, section 6.3).
var errLengthAndEncoding = errors.New("malformed head: a length and a transfer encoding")

// CheckHead waits for the head of an answer and returns an error unless it is well formed. It
// reads nothing from br, whose buffer has to hold the head.
//
// The reader of fasthttp accepts heads that others read differently: a status of 000, which it
// takes for 200, blanks in the names of fields and lines that continue the one before. An answer
// with such a head may have another length, or other fields, than its sender meant.
func CheckHead(br *bufio.Reader) error {
	for wanted := len(headEnd); ; wanted = br.Buffered() + 1 {
		_, err := br.Peek(wanted)
		received, _ := br.Peek(br.Buffered()) // cannot fail, since these bytes are buffered
		if end := bytes.Index(received, headEnd); end >= 0 {
			return checkLines(received[:end])
		}
		if err != nil {
			return err
		}
	}
}

// checkLines checks a head without the empty line that ends it.
func checkLines(head []byte) error {
	status, fields, _ := bytes.Cut(head, lineEnd)
	version, err := checkStatusLine(status)
	if err != nil {
		return err
	}
	var hasLength, hasEncoding bool
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, lineEnd)
		if err := checkField(field, version); err != nil {
			return err
		}
		hasLength = hasLength || isNamed(field, "Content-Length")
		hasEncoding = hasEncoding || isNamed(field, "Transfer-Encoding")
	}
	if hasLength && hasEncoding {
		return errLengthAndEncoding
	}
	return nil
}

// isNamed reports whether a well-formed header field has the name.
func isNamed(field []byte, name string) bool {
	return len(field) > len(name) && field[len(name)] == ':' && bytes.EqualFold(field[:len(name)], []byte(name))
}

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// checkStatusLine checks the first line of an answer and returns its protocol version.
func checkStatusLine(line []byte) (version string, err error) {
	const versionLength, codeLength = len(http11), 3
	if len(line) < versionLength+1+codeLength {
		return "", malformed("status line", line)
	}
	version, rest := string(line[:versionLength]), line[versionLength:]
	code, reason := rest[1:1+codeLength], rest[1+codeLength:]
	switch {
	case version != http10 && version != http11, rest[0] != ' ', !isStatusCode(code):
		return "", malformed("status line", line)
	case len(reason) > 0 && (reason[0] != ' ' || !isFieldValue(reason)):
		return "", malformed("status line", line)
	}
	return version, nil
}

// isStatusCode reports whether the three bytes are a status that HTTP defines a class for.
func isStatusCode(code []byte) bool {
	return code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// checkField checks the line of one header field.
func checkField(line []byte, version string) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isFieldValue(value) {
		return malformed("header field", line)
	}
	if version == http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return malformed("header field for "+http10, line)
	}
	return nil
}

// isToken reports whether the bytes are a valid name of a header field.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether the bytes hold no control character but the tab.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// maxQuotedBytes is how much of a malformed line an error holds.
const maxQuotedBytes = 80

func malformed(what string, line []byte) error {
	return errors.Newf("malformed %s %q", what, line[:min(len(line), maxQuotedBytes)])
}
