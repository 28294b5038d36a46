package answer

import (
	"net/http"
	"strings"
)

// Answer is a small response that was saved for replay.
type Answer struct {
	// Status is the HTTP status code; 0 means that no response was saved.
	Status int
	// Header holds all end-to-end headers.
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// Size returns the number of bytes of the headers, the body and the trailers.
func (a *Answer) Size() int {
	n := len(a.Body)
	for _, fields := range []http.Header{a.Header, a.Trailer} {
		for name, values := range fields {
			n += len(name)*len(values) + len(strings.Join(values, ""))
		}
	}
	return n
}
