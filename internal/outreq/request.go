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
	// RequestURI is the path with the query.
	RequestURI string
	Host       string
	Header     http.Header
	// Body is the whole body when Buffered is set; otherwise Stream brings it.
	Body     []byte
	Buffered bool
	// Chunked is set when a buffered body goes out without its length.
	Chunked bool
	Stream  io.ReadCloser
	// StreamLength is the length of the stream in bytes; -1 when not known.
	StreamLength int64
	// Failed, when set, reports whether reading the stream failed on the caller's side.
	BodyFailed func() bool
	Trailer    http.Header
	// ID is sent along and may be echoed.
	ID         string
	Idempotent bool
	Addr       netip.AddrPort
	// Early, when set, is told of each 1xx answer.
	OnInformational func(status int, h http.Header)
	// SentAt is the time of sending.
	SentAt time.Time
}
