package intact

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"
)

// Transport is an http.RoundTripper that fails on a response that is no answer to any request, and closes its connection.
type Transport struct {
	// Base makes the requests.
	Base http.RoundTripper
}

// MaxInformational is the maximum number of 1xx responses to one request.
const MaxInformational = 16

// RoundTrip makes a request; errors are those of Base, or match ErrBroken. Reads of the body of the response fail like those of
// NewBody.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	e := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, Got1xxResponse: e.got1xx}
	res, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	e.http1 = res.ProtoMajor == 1
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		e.closeConn()
		return nil, err
	}
	res.Body = NewBody(res, e.closeConn)
	return res, nil
}

// CloseIdleConnections closes the connections of Base that no request uses.
func (t *Transport) CloseIdleConnections() {
	if b, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		b.CloseIdleConnections()
	}
}

// exchange is one request of a Transport.
type exchange struct {
	conn net.Conn
	// http1 is set if no other request shares the connection.
	http1 bool
	// informational counts the 1xx responses.
	informational int
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) { e.conn = info.Conn }

// got1xx is the Got1xxResponse hook. With this hook, net/http sets no limit on the number of 1xx responses.
func (e *exchange) got1xx(_ int, h textproto.MIMEHeader) error {
	if e.informational++; e.informational > MaxInformational {
		return eris.Wrapf(ErrBroken, "more than %d informational responses", MaxInformational)
	}
	return CheckFields(http.Header(h))
}

// closeConn closes the connection: net/http keeps it once it has read the end of a response, and what follows may be broken as well.
func (e *exchange) closeConn() {
	if e.http1 && e.conn != nil {
		_ = e.conn.Close()
	}
}
