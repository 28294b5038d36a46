package demux

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// head is the head of a request, with the framing of the bytes that follow it.
type head struct {
	// bytes is the head as it was read, including the empty line at its end.
	bytes []byte
	// memory holds what is reserved for the head; it is closed once the server has the head.
	memory *memory.Budget
	// bodyLen is the length of the body in bytes; it is not used with passthrough.
	bodyLen int64
	// passthrough is set if the end of the request cannot be told from its head. All further bytes of the connection then go
	// to the server as they come.
	passthrough bool
	// http2 is set if the head is the start of the preface of HTTP/2.
	http2 bool
	// concurrent is set for a GET or HEAD request without a body, which may run concurrently with those before it.
	concurrent bool
	// last is set if the connection closes after the response to the request. What follows the request is not served, since the
	// caller sends it again on another connection.
	last bool
	// limit is the limit that the head exceeds; 0 if it does not. Such a head is incomplete, and the request is refused.
	limit int
}

// errNoMemory is the error of a head that does not fit the memory.
var errNoMemory = eris.New("no memory for the head of a request")

// readHead reads the head of a request up to and including the empty line after the header fields. What goes beyond
// readBufferSize is reserved in m, together with the copy of the server.
//
// Errors are those of the reader, or errNoMemory. A head that is malformed is not an error: it is marked passthrough, and the
// server decides on it. Of one that exceeds the limit, which may change meanwhile, the rest is not read.
func readHead(r *bufio.Reader, m *memory.Budget, limit func() int) (*head, error) {
	h := &head{memory: m}
	for partialLine := false; ; {
		line, err := r.ReadSlice('\n')
		if len(h.bytes)+len(line) > readBufferSize && !m.Reserve(headMemory(len(h.bytes), line)) {
			return nil, errNoMemory
		}
		h.bytes = append(h.bytes, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		empty := !partialLine && (string(line) == "\r\n" || string(line) == "\n")
		partialLine = err != nil
		if empty {
			h.parseFraming()
			return h, nil
		}
		if l := limit(); len(h.bytes) > l+tune.HeadSlack {
			h.limit, h.last, h.bytes = l, true, nil
			m.Close()
			return h, nil
		}
	}
}

// headMemory returns what p takes, a further part of a head of which n bytes were read before: two copies, and beyond
// tune.FreeHeadBytes the fields.
func headMemory(n int, p []byte) int64 {
	m := 2 * len(p)
	if n+len(p) > tune.FreeHeadBytes {
		m += bytes.Count(p, []byte("\n")) * tune.FieldMemory
	}
	return int64(m)
}

// parseFraming determines what follows the head. It uses http.ReadRequest, the parser that the server uses as well.
func (h *head) parseFraming() {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(h.bytes)))
	if err != nil || r.ContentLength < 0 || r.Method == http.MethodConnect ||
		r.Header.Get("Upgrade") != "" || r.Header.Get("Expect") != "" {
		h.passthrough = true
		h.http2 = err == nil && r.Method == "PRI" && r.ProtoMajor == 2
		return
	}
	h.last = r.Close
	h.bodyLen = r.ContentLength
	h.concurrent = h.bodyLen == 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}
