package proxy

import (
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// stream is a request body that remembers why reading it failed.
type stream struct {
	io.ReadCloser
	mu  sync.Mutex
	err error
	// readMu is held while a read is under way, and stopped is set once none may begin.
	readMu  sync.Mutex
	stopped bool
	eof     bool
}

// errCallEnded is what a reader gets after the call has ended.
var errCallEnded = eris.New("the call has ended")

// stop ends reading: abort interrupts a read that is under way. It reports whether the body had been read to its end.
func (s *stream) stop(abort func()) bool {
	if !s.readMu.TryLock() {
		abort()
		s.readMu.Lock()
	}
	defer s.readMu.Unlock()
	s.stopped = true
	return s.eof
}

// Read reads from the caller.
func (s *stream) Read(p []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if s.stopped {
		return 0, errCallEnded
	}
	n, err := s.ReadCloser.Read(p)
	s.eof = s.eof || errors.Is(err, io.EOF)
	if err != nil && !errors.Is(err, io.EOF) {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

func (s *stream) readErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
