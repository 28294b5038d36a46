package outreq

import (
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Request is one attempt as it goes to an upstream.
type Request struct {
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body when Buffered is set; otherwise Stream brings it.
	Body     []byte
	Buffered bool
	// Chunked is set when a buffered body goes out without its length.
	Chunked bool
	Stream  io.ReadCloser
	// Length is the length of the stream in bytes; -1 when not known.
	Length int64
	// Failed, when set, reports whether reading the stream failed on the caller's side.
	Failed  func() bool
	Trailer http.Header
	// ID is sent along and may be echoed.
	ID     string
	Repeat bool
	Addr   netip.AddrPort
	// Early, when set, is told of each 1xx answer.
	Early func(status int, h http.Header)
	// Sent is the time of sending.
	Sent time.Time
}
