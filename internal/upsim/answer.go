package upsim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type Delivery,End -linecomment

// Delivery is how an upstream sends the answer to a call that it ran.
type Delivery int

// Values of Delivery.
const (
	// Sound means that the whole answer is sent.
	Sound Delivery = iota // sound
	// Lost means that the connection closes without an answer.
	Lost // lost
	// Cut means that the connection closes in the middle of the answer.
	Cut // cut
	// Doubled means that a second copy of the answer follows after a while.
	Doubled // doubled
	// Garbled means that bytes are sent that are no HTTP.
	Garbled // garbled
	// Failed means that the answer has status 500.
	Failed // failed
)

// End is how a run ended.
type End int

// Values of End.
const (
	// Delivered means that the whole answer was written.
	Delivered End = iota // delivered
	// BrokenOff means that the upstream did not send the whole answer, or sent something else.
	BrokenOff // broken
	// Left means that the client was gone before the answer.
	Left // left
)

// secondCopyDelay is how long after the answer its second copy follows.
const secondCopyDelay = 60 * time.Millisecond

// NewDigest returns the hash that a request's body is to be written to, for the digest of the request.
func NewDigest(method, uri string) hash.Hash {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+uri+"\n")
	return h
}

// signedAnswer returns the body of the answer to a call: a line that names the call and the digest of the request, padding up to
// the given size, and a line with the checksum of what precedes it.
func signedAnswer(call, digest string, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s\n", call, digest)
	if n := size - b.Len(); n > 0 {
		b.WriteString(strings.Repeat(".", n) + "\n")
	}
	sum := sha256.Sum256(b.Bytes())
	return append(b.Bytes(), hex.EncodeToString(sum[:])...)
}

// ReadAnswer returns the call and the digest that an answer names, and reports whether its checksum is right.
func ReadAnswer(body []byte) (call, digest string, ok bool) {
	i := bytes.LastIndexByte(body, '\n') + 1
	sum := sha256.Sum256(body[:i])
	if string(body[i:]) != hex.EncodeToString(sum[:]) {
		return "", "", false
	}
	line, _, _ := strings.Cut(string(body[:i]), "\n")
	call, digest, ok = strings.Cut(line, " ")
	return call, digest, ok
}

// deliver sends the signed answer in the way that Draw determines.
func (u *Upstream) deliver(w http.ResponseWriter, r *http.Request, digest string, end func(End)) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := signedAnswer(r.URL.Query().Get("call"), digest, size)
	how := Sound
	if u.Draw != nil {
		how = u.Draw()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch how {
	case Sound:
		if _, err := w.Write(body); err != nil {
			end(Left)
			return
		}
		end(Delivered)
	case Failed:
		end(Delivered)
		http.Error(w, "failed", http.StatusInternalServerError)
	case Lost:
		end(BrokenOff)
		panic(http.ErrAbortHandler)
	case Cut:
		end(BrokenOff)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Doubled, Garbled:
		end(BrokenOff)
		u.sendRaw(w, body, how)
	}
}

// sendRaw writes to the connection itself: the answer twice, or bytes that are no HTTP.
func (u *Upstream) sendRaw(w http.ResponseWriter, body []byte, how Delivery) {
	var head bytes.Buffer
	_ = w.Header().Write(&head)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if how == Garbled {
		_, _ = io.WriteString(conn, "\x00\x01 no HTTP at all\r\n\r\n")
		return
	}
	answer := append([]byte("HTTP/1.1 200 OK\r\n"+head.String()+"\r\n"), body...)
	for range 2 {
		_, _ = conn.Write(answer)
		t, stop := u.Clock.Timer(secondCopyDelay)
		<-t
		stop()
	}
}
