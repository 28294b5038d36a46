package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/trail"
)

const (
	// stallInterval is the interval at which the waits of threads are read.
	stallInterval = 50 * time.Millisecond
	// minStall is the shortest wait of a thread that is recorded.
	minStall = 100 * time.Millisecond
)

// stallWatch records how long the threads of the entries and of this process were ready and got no CPU; its loop method is a
// goroutine.
type stallWatch struct {
	fleet *Fleet
	done  <-chan struct{}
	// waited is the time that each thread has waited so far, by the path of its directory.
	waited map[string]time.Duration
}

func (s *stallWatch) loop() {
	for {
		t, stop := s.fleet.Clock.Timer(stallInterval)
		select {
		case <-t:
		case <-s.done:
			stop()
			return
		}
		s.read(trail.Machine, os.Getpid())
		for _, e := range s.fleet.allEntries() {
			process, _ := e.current()
			s.read(e.name, process.PID())
		}
	}
}

// read records the waits of the threads of a process that have ended since the last reading.
func (s *stallWatch) read(subject string, pid int) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return
	}
	for _, thread := range threads {
		data, err := os.ReadFile(filepath.Join(thread, "schedstat"))
		if err != nil {
			continue
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(data), &ran, &waited); err != nil {
			continue
		}
		before, known := s.waited[thread]
		s.waited[thread] = waited
		if d := waited - before; known && d >= minStall {
			s.fleet.Trail.Update(func() {
				s.fleet.Trail.Stalls = append(s.fleet.Trail.Stalls, trail.Stall{Subject: subject, End: s.fleet.Clock.Now(), Took: d})
			})
		}
	}
}
