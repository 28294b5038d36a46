package intact

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
)

// ErrBroken is matched by the errors about a response that is no answer to any request. The request may have been carried out.
var ErrBroken = eris.New("broken response")

// Statuses that a final response may have, as RFC 9110 (15) defines them.
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns an error that matches ErrBroken if the head of a final response shows that it is no answer to any request.
//
// net/http parses any three digits as a status.
func Check(res *http.Response) error {
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return eris.Wrapf(ErrBroken, "status %03d", res.StatusCode)
	}
	return CheckFields(res.Header)
}

// CheckFields returns an error that matches ErrBroken if the name of a field is not a token, as RFC 9110 (5.1) demands.
//
// net/http accepts blanks in names and does not take such a field for the one that it would be without them, as
// "Content-Length : 2". The length of the body may then be wrong.
func CheckFields(h http.Header) error {
	for name, values := range h {
		// A trailer that was announced and has not been sent has no values.
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrBroken, "field name %q", name)
		}
	}
	return nil
}

// NewBody returns the body of a response to http.Transport. A Read that reaches its end calls refused and returns an error that matches
// ErrBroken instead of io.EOF if CheckFields refuses the trailers.
func NewBody(res *http.Response, refused func()) io.ReadCloser {
	if res.Body == http.NoBody {
		return res.Body
	}
	return &body{ReadCloser: res.Body, response: res, refused: refused}
}

// BodyCause returns the cause of an attempt or probe that got a head, and err when it read the body.
func BodyCause(err error) cause.Cause {
	if errors.Is(err, ErrBroken) {
		return cause.Invalid
	}
	return cause.ConnBroken
}

type body struct {
	io.ReadCloser
	response *http.Response
	refused  func()
}

// Read reads from the body; errors are those of the body, or match ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := CheckFields(b.response.Trailer); broken != nil {
			b.refused()
			return n, broken
		}
	}
	return n, err
}
