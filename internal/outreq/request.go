package outreq

import (
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Request is one attempt of a call, as sent to an upstream.
type Request struct {
	Method string
	// RequestURI is the escaped path, followed by the query if there is one.
	RequestURI string
	Host       string
	Header     http.Header
	// Body is the whole body if Buffered is set; otherwise the body is read from Stream.
	Body     []byte
	Buffered bool
	// Chunked is set if a buffered body is sent without a Content-Length.
	Chunked bool
	Stream  io.ReadCloser
	// StreamLength is the length of Stream in bytes; -1 if unknown.
	StreamLength int64
	// BodyFailed reports whether reading the caller's request body from Stream failed; it may be nil.
	BodyFailed func() bool
	// Trailer holds the trailers that follow Stream; net/http fills in their values once the body has been read.
	Trailer http.Header
	// ID identifies the attempt; the upstream may echo it in its response.
	ID string
	// Idempotent is set if the call may be sent more than once.
	Idempotent bool
	// Addr is the address of the upstream.
	Addr netip.AddrPort
	// OnInformational is called for each 1xx response other than 100 Continue; it may be nil.
	OnInformational func(status int, h http.Header)
	// SentAt is the time from which the latency of the attempt is measured.
	SentAt time.Time
}
