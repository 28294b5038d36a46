package bind

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// Binding identifies the request that an idempotency key was used for, by hashes of its parts. The hashes are cryptographic, since a
// caller that finds a collision could get the saved response to another's request.
//
// The zero value is that of claims of versions that bound them to nothing.
type Binding struct {
	// Account identifies the client account together with its key; never 0 in a binding that New returns.
	Account uint64
	Method  uint64
	// URI identifies the path and the query.
	URI uint64
	// Body is 0 if the body was streamed, so that it is not known.
	Body uint64
}

// New returns the binding of a request with an idempotency key; known is false if the body is streamed.
func New(account, key, method, uri string, body []byte, known bool) Binding {
	b := Binding{Account: hash([]byte(account), []byte(key)), Method: hash([]byte(method)), URI: hash([]byte(uri))}
	if known {
		b.Body = hash(body)
	}
	return b
}

// hash returns the first 64 bits of a hash of parts, each with its length; never 0.
func hash(parts ...[]byte) uint64 {
	d := sha256.New()
	for _, p := range parts {
		// Writes to a hash never fail.
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = d.Write(p)
	}
	return max(1, binary.BigEndian.Uint64(d.Sum(nil)))
}

// Bound reports whether the claim was bound to a request.
func (b Binding) Bound() bool { return b.Account != 0 }

// SameRequest reports whether both bindings are known to be of the same request.
func (b Binding) SameRequest(o Binding) bool { return b == o && b.Bound() && b.Body != 0 }

// Differences names the parts of the request in which b is known to differ from o, such as "another path or query, another
// body"; "" without one.
func (b Binding) Differences(o Binding) string {
	if !b.Bound() || !o.Bound() {
		return ""
	}
	var parts []string
	if b.Method != o.Method {
		parts = append(parts, "another method")
	}
	if b.URI != o.URI {
		parts = append(parts, "another path or query")
	}
	if b.Body != o.Body && b.Body != 0 && o.Body != 0 {
		parts = append(parts, "another body")
	}
	return strings.Join(parts, ", ")
}
