package demux

import (
	"golang.org/x/net/http2/hpack"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// blockReader finds the size of header lists in the bytes that a caller sends over HTTP/2. A list has 4 KB for a byte of its block, so
// that the number of bytes alone says nothing of it.
type blockReader struct {
	// skip is the number of bytes up to the next frame or its header block fragment.
	skip int
	// header holds the first bytes of a frame, of which headerLen are there.
	header    [frameHeaderLen]byte
	headerLen int
	// fragment is the number of bytes left of a header block fragment, and padded is set if its first byte is the length of its padding.
	fragment int
	padded   bool
	// padding is the number of bytes behind the fragment.
	padding int
	// open is set within a header block, and last if the current frame ends it.
	open, last bool
	// size is the size of the header list, with the bytes of its block; 0 outside of a block.
	size    int
	decoder *hpack.Decoder
	// broken is set once a block cannot be decoded, which makes the server end the connection.
	broken bool
}

// Parts of HTTP/2, with lengths in bytes (RFC 9113).
const (
	prefaceLen        = 24
	frameHeaderLen    = 9
	frameHeaders      = 1
	frameContinuation = 9
	flagEndHeaders    = 0x4
	flagPadded        = 0x8
	flagPriority      = 0x20
	priorityLen       = 5
	// dynamicTableSize is that of the table of header fields, which the server keeps to as well.
	dynamicTableSize = 4 << 10
)

func newBlockReader() *blockReader {
	b := &blockReader{skip: prefaceLen}
	b.decoder = hpack.NewDecoder(dynamicTableSize, func(f hpack.HeaderField) { b.size += int(f.Size()) })
	b.decoder.SetMaxStringLength(tune.ServerHeadBytes)
	return b
}

// read reads further bytes of the connection and returns the size of the largest header list that they are part of.
func (b *blockReader) read(p []byte) (largest int) {
	for len(p) > 0 {
		n := 0
		switch {
		case b.skip > 0:
			n = min(b.skip, len(p))
			b.skip -= n
		case b.padded:
			n, b.padded = 1, false
			b.padding = min(int(p[0]), b.fragment-1)
			b.fragment -= 1 + b.padding
			b.skipPriority()
		case b.fragment > 0:
			n = min(b.fragment, len(p))
			b.fragment -= n
			b.decode(p[:n])
		default:
			n = copy(b.header[b.headerLen:], p)
			b.headerLen += n
		}
		p = p[n:]
		largest = max(largest, b.size)
		b.advance()
	}
	return largest
}

// advance goes on to the next part of a frame, or to the next frame, if the current one is read.
func (b *blockReader) advance() {
	switch {
	case b.skip > 0 || b.padded || b.fragment > 0:
	case b.headerLen == frameHeaderLen:
		b.headerLen = 0
		b.beginFrame()
	case b.headerLen == 0 && b.padding > 0:
		b.skip, b.padding = b.padding, 0
	}
	if b.skip == 0 && !b.padded && b.fragment == 0 && b.headerLen == 0 && b.padding == 0 && b.last {
		b.endBlock()
	}
}

// beginFrame interprets the header of a frame.
func (b *blockReader) beginFrame() {
	length := int(b.header[0])<<16 | int(b.header[1])<<8 | int(b.header[2])
	flags := b.header[4]
	switch b.header[3] {
	case frameHeaders:
		b.open, b.last, b.size = true, flags&flagEndHeaders != 0, 0
		b.fragment, b.padded = length, flags&flagPadded != 0 && length > 0
		if !b.padded {
			b.skipPriority()
		}
	case frameContinuation:
		b.last, b.fragment = flags&flagEndHeaders != 0, length
	default:
		b.skip = length
	}
}

// skipPriority leaves out the priority fields of a frame of type HEADERS.
func (b *blockReader) skipPriority() {
	if b.header[4]&flagPriority != 0 {
		b.skip = min(priorityLen, b.fragment)
		b.fragment -= b.skip
	}
}

// decode decodes a part of a header block fragment.
func (b *blockReader) decode(p []byte) {
	b.size += len(p)
	if b.broken {
		return
	}
	_, err := b.decoder.Write(p)
	b.broken = err != nil
}

// endBlock ends a header block.
func (b *blockReader) endBlock() {
	b.broken = b.decoder.Close() != nil || b.broken
	b.open, b.last, b.size = false, false, 0
}
