package front

import (
	"errors"
	"io"
	"sync"
)

// stream is a request body that remembers why reading it failed.
type stream struct {
	io.ReadCloser
	mu  sync.Mutex
	err error
}

// Read reads from the caller.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
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
