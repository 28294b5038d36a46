package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// pipe hands lines to a writer that may stall: its loop method is a goroutine, and what does not fit is dropped and counted.
type pipe struct {
	out     io.Writer
	clock   clock.Clock
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	stop    sync.Once
	// quit ends the loop once the lines at hand are written.
	quit chan struct{}
}

const (
	// pipeLines is the number of lines that wait for the writer before more are dropped.
	pipeLines = 4096
	// pipeBatch is the size in bytes at which lines are written together.
	pipeBatch = 32 << 10
	// pipePause is how long lines are gathered.
	pipePause = 200 * time.Millisecond
	// closeWait bounds the wait for a stalled writer at the end.
	closeWait = time.Second
)

func newPipe(out io.Writer, c clock.Clock) *pipe {
	p := &pipe{out: out, clock: c, lines: make(chan []byte, pipeLines), done: make(chan struct{}), quit: make(chan struct{})}
	go p.loop()
	return p
}

// Write takes one line and never blocks.
func (p *pipe) Write(line []byte) (int, error) {
	select {
	case p.lines <- append([]byte(nil), line...):
	default:
		p.dropped.Add(1)
	}
	return len(line), nil
}

// Sync has nothing to do: lines are written soon by themselves.
func (p *pipe) Sync() error { return nil }

// loop writes lines in batches.
func (p *pipe) loop() {
	defer close(p.done)
	for {
		select {
		case line := <-p.lines:
			t, stop := p.clock.Timer(pipePause)
			select {
			case <-t:
			case <-p.quit:
			}
			stop()
			p.flush(line)
		case <-p.quit:
			p.flush(nil)
			return
		}
	}
}

// flush writes a first line and all that wait.
func (p *pipe) flush(batch []byte) {
	for {
		select {
		case line := <-p.lines:
			batch = append(batch, line...)
			if len(batch) < pipeBatch {
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
func (p *pipe) close() {
	p.stop.Do(func() { close(p.quit) })
	t, stop := p.clock.Timer(closeWait)
	defer stop()
	select {
	case <-p.done:
	case <-t:
	}
}
