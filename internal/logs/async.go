package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// asyncWriter queues lines for a writer that may block; lines that do not fit the queue are dropped and counted.
//
// Its loop method is a goroutine.
type asyncWriter struct {
	out   io.Writer
	clock clock.Clock
	lines chan []byte
	// dropped counts the lines that found the queue full, and each failed write to out once.
	dropped atomic.Uint64
	// done is closed when loop has returned.
	done      chan struct{}
	closeOnce sync.Once
	// closing is closed to make loop write the queued lines and return.
	closing chan struct{}
}

const (
	// queueLines is the capacity of the queue in lines; when it is full, further lines are dropped.
	queueLines = 4096
	// batchBytes is the size in bytes from which a batch of lines is written.
	batchBytes = 32 << 10
	// batchDelay is how long further lines are collected after the first line of a batch.
	batchDelay = 200 * time.Millisecond
	// closeWait bounds the time that close waits for a blocked writer.
	closeWait = time.Second
)

// newAsyncWriter returns a writer and starts its goroutine, which ends with close.
func newAsyncWriter(out io.Writer, c clock.Clock) *asyncWriter {
	w := &asyncWriter{out: out, clock: c, lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.loop()
	return w
}

// Write queues a copy of one line; it never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing and returns nil: loop writes the queued lines without it.
func (w *asyncWriter) Sync() error { return nil }

// loop writes the queued lines in batches until the writer is closed.
func (w *asyncWriter) loop() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			t, stop := w.clock.Timer(batchDelay)
			select {
			case <-t:
			case <-w.closing:
			}
			stop()
			w.flush(line)
		case <-w.closing:
			w.flush(nil)
			return
		}
	}
}

// flush writes batch and all queued lines, in writes of about batchBytes.
func (w *asyncWriter) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < batchBytes {
				continue
			}
		default:
			if len(batch) == 0 {
				return
			}
		}
		if _, err := w.out.Write(batch); err != nil {
			// A failed write cannot be logged; it is counted, and the counter is served on /metrics.
			w.dropped.Add(1)
		}
		batch = nil
	}
}

// close writes the queued lines and ends loop; it waits for that for at most closeWait.
func (w *asyncWriter) close() {
	w.closeOnce.Do(func() { close(w.closing) })
	t, stop := w.clock.Timer(closeWait)
	defer stop()
	select {
	case <-w.done:
	case <-t:
	}
}
