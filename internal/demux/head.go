package demux

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// head is the head of a request and what it says of the bytes that follow.
type head struct {
	bytes []byte
	// bodyLen is the length of the body in bytes.
	bodyLen int64
	// passthrough is set where only the server can tell the end of the request.
	passthrough bool
	// concurrent is set for a request without a body that may run beside those before it.
	concurrent bool
}

// readHead reads up to the empty line behind a request's header fields.
//
// The errors are those of the reader. A head that is too long or not proper is left to the server as it came.
func readHead(in *bufio.Reader) (*head, error) {
	h := &head{}
	for midway := false; len(h.bytes) <= tune.MaxHeadBytes; {
		line, err := in.ReadSlice('\n')
		h.bytes = append(h.bytes, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		empty := !midway && (string(line) == "\r\n" || string(line) == "\n")
		midway = err != nil
		if empty {
			h.parseFraming()
			return h, nil
		}
	}
	h.passthrough = true
	return h, nil
}

// parseFraming finds out what follows the head, by the parser that the server uses as well.
func (h *head) parseFraming() {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(h.bytes)))
	if err != nil || r.ContentLength < 0 || r.Method == http.MethodConnect ||
		r.Header.Get("Upgrade") != "" || r.Header.Get("Expect") != "" {
		h.passthrough = true
		return
	}
	h.bodyLen = r.ContentLength
	h.concurrent = h.bodyLen == 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}
