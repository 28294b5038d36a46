package peers

import (
	"compress/gzip"

	"connectrpc.com/connect"
)

func newGzipReader() connect.Decompressor { return &gzip.Reader{} }

// newGzipWriter returns a compressor of the fastest level. On a host with a small share of a core, the default one would take
// longer than the bytes that it saves take on the link.
func newGzipWriter() connect.Compressor {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // only for an invalid level
	}
	return w
}
