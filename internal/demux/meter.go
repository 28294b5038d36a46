package demux

import (
	"sync"

	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// headMeter counts the heads that the server reads from a connection by itself, as it reads them, and reserves memory for what
// exceeds tune.FreeHeadBytes or, in HTTP/2, tune.FreeBlockBytes. It is safe for concurrent use, as net/http reads the first byte behind a request while a handler has it.
type headMeter struct {
	listener *Listener
	// blocks is set on connections of HTTP/2.
	blocks *blockReader
	// memory is closed with the connection.
	memory *memory.Budget

	// mu guards the fields below, and blocks.
	mu sync.Mutex
	// reserved is what is reserved in memory.
	reserved int64
	// size is the number of bytes of the head so far.
	size int
	// limited is set while there is a deadline for the rest of a head of HTTP/2.
	limited bool
	// refused is set once a head is not read further.
	refused bool
}

// readAhead is at most what net/http reads behind the end of a head, in bytes.
const readAhead = 4 << 10

func newHeadMeter(l *Listener, http2 bool) *headMeter {
	m := &headMeter{listener: l, memory: l.Memory.Part(0)}
	if http2 {
		m.blocks = newBlockReader()
	}
	return m
}

// beginRead is called before a read, and reports whether the connection is read further. In HTTP/2, the server then has taken the heads
// that ended before.
func (m *headMeter) beginRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocks != nil && !m.blocks.open {
		m.release()
	}
	return !m.refused
}

// refuse notes that the head is not read further. The server may read again after an error.
func (m *headMeter) refuse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = true
}

// endHead is called when the server has taken a head of HTTP/1.
func (m *headMeter) endHead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocks == nil {
		m.release()
	}
}

// release starts anew for the next head. The caller of the method must hold mu.
func (m *headMeter) release() {
	m.memory.Release(m.reserved)
	m.reserved, m.size = 0, 0
}

// note counts bytes that the server reads; answered is set if they are not part of a head of HTTP/1. It returns the limit that the
// head exceeds, or 0. In HTTP/2, the handler checks the limit. The error is errNoMemory if the head does not fit the memory.
func (m *headMeter) note(p []byte, answered bool) (limit int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocks != nil {
		size := m.blocks.read(p)
		return 0, m.reserve(blockMemory * int64(size-tune.FreeBlockBytes))
	}
	if answered {
		return 0, nil
	}
	n := m.size
	m.size += len(p)
	if l := m.listener.headLimit(); m.size > l+tune.HeadSlack+readAhead {
		return l, nil
	}
	if m.size <= tune.FreeHeadBytes {
		return 0, nil
	}
	return 0, m.reserve(m.reserved + headMemory(n, p))
}

// updateLimit reports whether a head of HTTP/2 has begun or ended since the last call, and whether one is incomplete now.
func (m *headMeter) updateLimit() (changed, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocks == nil || m.limited == m.blocks.open {
		return false, m.limited
	}
	m.limited = m.blocks.open
	return true, m.limited
}

// blockMemory is what a header list of HTTP/2 takes, for each byte of its size: demux and the server both keep an incomplete string in a
// buffer that doubles, beside the strings that are complete.
const blockMemory = 6

// reserve raises what is reserved to n bytes; the error is errNoMemory if they do not fit. The caller of the method must hold mu.
func (m *headMeter) reserve(n int64) error {
	if n <= m.reserved {
		return nil
	}
	if !m.memory.Reserve(n - m.reserved) {
		return errNoMemory
	}
	m.reserved = n
	return nil
}
