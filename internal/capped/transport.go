package capped

import (
	"net/http"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Transport is an http.RoundTripper whose response bodies end with an error after tune.MaxMessageBytes, and then close the
// connection. The RPC library reads a message that is too large to its end, without keeping it.
type Transport struct {
	// Base makes the requests; nil means http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip makes a request; errors are those of Base.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	res, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = http.MaxBytesReader(nil, res.Body, tune.MaxMessageBytes)
	return res, nil
}
