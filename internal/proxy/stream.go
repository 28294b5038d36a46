package proxy

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// stream is a request body that records why reading it failed, and that can be stopped when the call ends.
type stream struct {
	io.ReadCloser
	// onEOF is called when the body has been read to its end, by the goroutine that reads it; it may be nil.
	onEOF func()
	// mu guards err.
	mu sync.Mutex
	// err is the last error of a read other than io.EOF.
	err error
	// readMu is held during each read; it guards stopped.
	readMu sync.Mutex
	// stopped is set once no further read may start.
	stopped bool
	// eof is set once the body has been read to its end.
	eof atomic.Bool
}

// errCallEnded is the error of a read after stop.
var errCallEnded = eris.New("request body read after the call had ended")

// stop waits for a read in progress, which abort must interrupt, and makes further reads fail with errCallEnded.
func (s *stream) stop(abort func()) {
	if !s.readMu.TryLock() {
		abort()
		s.readMu.Lock()
	}
	defer s.readMu.Unlock()
	s.stopped = true
}

// complete reports whether the body has been read to its end.
func (s *stream) complete() bool { return s.eof.Load() }

// Read reads from the request body of the caller.
func (s *stream) Read(p []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if s.stopped {
		return 0, errCallEnded
	}
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if s.onEOF != nil {
			s.onEOF()
		}
		s.eof.Store(true)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

// readErr returns the last error of a read other than io.EOF, or nil.
func (s *stream) readErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
