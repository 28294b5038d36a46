package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// asyncWriter hands lines to a writer that may stall: its loop method is a goroutine, and what does not fit is dropped and counted.
type asyncWriter struct {
	out       io.Writer
	clock     clock.Clock
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
	// closing ends the loop once the lines at hand are written.
	closing chan struct{}
}

const (
	// queueLines is the number of lines that wait for the writer before more are dropped.
	queueLines = 4096
	// batchBytes is the size in bytes at which lines are written together.
	batchBytes = 32 << 10
	// batchDelay is how long lines are gathered.
	batchDelay = 200 * time.Millisecond
	// closeWait bounds the wait for a stalled writer at the end.
	closeWait = time.Second
)

func newAsyncWriter(out io.Writer, c clock.Clock) *asyncWriter {
	p := &asyncWriter{out: out, clock: c, lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go p.loop()
	return p
}

// Write takes one line and never blocks.
func (p *asyncWriter) Write(line []byte) (int, error) {
	select {
	case p.lines <- append([]byte(nil), line...):
	default:
		p.dropped.Add(1)
	}
	return len(line), nil
}

// Sync has nothing to do: lines are written soon by themselves.
func (p *asyncWriter) Sync() error { return nil }

// loop writes lines in batches.
func (p *asyncWriter) loop() {
	defer close(p.done)
	for {
		select {
		case line := <-p.lines:
			t, stop := p.clock.Timer(batchDelay)
			select {
			case <-t:
			case <-p.closing:
			}
			stop()
			p.flush(line)
		case <-p.closing:
			p.flush(nil)
			return
		}
	}
}

// flush writes a first line and all that wait.
func (p *asyncWriter) flush(batch []byte) {
	for {
		select {
		case line := <-p.lines:
			batch = append(batch, line...)
			if len(batch) < batchBytes {
				continue
			}
		default:
			if len(batch) == 0 {
				return
			}
		}
		if _, err := p.out.Write(batch); err != nil {
			// Nobody can be told of a log that cannot be written, but its counter shows on /metrics.
			p.dropped.Add(1)
		}
		batch = nil
	}
}

// close writes what waits, for a bounded time.
func (p *asyncWriter) close() {
	p.closeOnce.Do(func() { close(p.closing) })
	t, stop := p.clock.Timer(closeWait)
	defer stop()
	select {
	case <-p.done:
	case <-t:
	}
}
