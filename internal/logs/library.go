package logs

import (
	"bytes"
	"io"

	"go.uber.org/zap"
)

// libraryWriter writes each message that a library logs through the standard log package as a line of the log.
type libraryWriter struct {
	log *Log
}

// LibraryWriter returns the writer for the standard log package. Its lines are routine, and writing one never blocks.
func (l *Log) LibraryWriter() io.Writer { return &libraryWriter{l} }

// Write logs one message; it never fails.
func (w *libraryWriter) Write(p []byte) (int, error) {
	if ce := w.log.check("library", true); ce != nil {
		text := bytes.TrimSpace(p)
		ce.Write(zap.ByteString("text", cut(text)), zap.Int("size", len(text)))
	}
	return len(p), nil
}
