package intact

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

// Transport is an http.RoundTripper that fails on a response that Check refuses, and closes its connection.
type Transport struct {
	// Base makes the requests.
	Base http.RoundTripper
}

// RoundTrip makes a request; errors are those of Base, or match ErrBroken.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	res, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		if res.ProtoMajor == 1 && conn != nil {
			// A connection is kept after a response without a body, and what follows on this one may be broken as well.
			_ = conn.Close()
		}
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections of Base that no request uses.
func (t *Transport) CloseIdleConnections() {
	if b, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		b.CloseIdleConnections()
	}
}

// ErrBroken is matched by the errors about a response that is no answer to any request.
var ErrBroken = eris.New("broken response")

// Statuses that a final response may have, as RFC 9110 (15) defines them.
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns an error that matches ErrBroken if a final response is no answer to any request. The request may have been carried out.
//
// net/http parses any three digits as a status.
func Check(res *http.Response) error {
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return eris.Wrapf(ErrBroken, "status %03d", res.StatusCode)
	}
	return nil
}
