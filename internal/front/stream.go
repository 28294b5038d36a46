package front

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
	// reading is held while a read is under way, and stopped is set once none may begin.
	reading sync.Mutex
	stopped bool
	done    bool
}

// errStopped is what a reader gets after the call has ended.
var errStopped = eris.New("the call has ended")

// stop ends reading: abort interrupts a read that is under way. It reports whether the body had been read to its end.
func (s *stream) stop(abort func()) bool {
	if !s.reading.TryLock() {
		abort()
		s.reading.Lock()
	}
	defer s.reading.Unlock()
	s.stopped = true
	return s.done
}

// Read reads from the caller.
func (s *stream) Read(p []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.stopped {
		return 0, errStopped
	}
	n, err := s.ReadCloser.Read(p)
	s.done = s.done || errors.Is(err, io.EOF)
	if err != nil && !errors.Is(err, io.EOF) {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
