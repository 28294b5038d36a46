package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/balsamvale/balsamvale/internal/child"
	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Times of entries.
const (
	// stopLag and stopWait are those of the platform's settings.
	stopLag  = 2500 * time.Millisecond
	stopWait = 2900 * time.Millisecond
	// killTime is how long after SIGTERM a process that has not exited is killed.
	killTime = 11 * time.Second
	// restartDelay is the time from the exit of a process to the start of the next.
	restartDelay = 500 * time.Millisecond
	// balancerInterval is the interval of the balancer's readiness checks, of which maxMisses in a row take an entry out.
	balancerInterval = time.Second
	maxMisses        = 2
	maxPanicLines    = 10
)

// entry is one entry with its successive processes.
type entry struct {
	fleet    *Fleet
	name     string
	domain   int
	front    netip.AddrPort
	peer     netip.AddrPort
	admin    netip.AddrPort
	settings string
	// callerRelay, storeRelay and peerRelay are nil if the plan has no faults of these links. The other entries know the entry by the
	// address of peerRelay.
	callerRelay *relay.Relay
	storeRelay  *relay.Relay
	peerRelay   *relay.Relay
	// ended is closed when loop has ended.
	ended chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	process *child.Process
	life    *trail.Life
	starts  int
	closing bool
	// retired is set before a stop after which no process follows.
	retired bool
	misses  int
}

// newEntry returns entry i with its addresses, relays and settings; it may ask the entries before it for the configuration.
func (f *Fleet) newEntry(i int) (*entry, error) {
	e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i+1), domain: i % domainCount, ended: make(chan struct{})}
	for _, addr := range []*netip.AddrPort{&e.front, &e.peer, &e.admin} {
		var err error
		if *addr, err = f.ports.Next(); err != nil {
			return nil, eris.Wrap(ErrFleet, err.Error())
		}
	}
	for _, l := range []struct {
		relay  **relay.Relay
		target netip.AddrPort
		kinds  []plan.Kind
	}{
		{&e.storeRelay, f.kvAddr, []plan.Kind{plan.SilentStore, plan.ResetStore, plan.SlowStore, plan.OneWayStore, plan.LimitStore}},
		{&e.callerRelay, e.front, []plan.Kind{plan.SilentCallers, plan.ResetCallers, plan.SlowCallers}},
		{&e.peerRelay, e.peer, []plan.Kind{plan.LimitPeers}},
	} {
		if !f.uses(l.kinds...) {
			continue
		}
		var err error
		if *l.relay, err = relay.New(f.Clock, l.target); err != nil {
			return nil, eris.Wrap(ErrFleet, err.Error())
		}
	}
	text := fmt.Sprintf("schema = 1\nname = %q\ndomain = %q\nfront = %q\npeer = %q\nadmin = %q\nstore = [%q]\n%s[log]\nsample = 1\n[stop]\nlag = %q\nwait = %q\n",
		e.name, domainName(e.domain), e.front, e.peer, e.admin, through(e.storeRelay, f.kvAddr), f.seeds(), stopLag, stopWait)
	e.settings = filepath.Join(f.Dir, e.name+".toml")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(ErrFleet, err.Error())
	}
	return e, nil
}

// through returns the address of a relay, or the address itself without one.
func through(r *relay.Relay, addr netip.AddrPort) netip.AddrPort {
	if r != nil {
		return r.Addr()
	}
	return addr
}

// startEntry starts the next entry.
func (f *Fleet) startEntry() (*entry, error) {
	e, err := f.newEntry(len(f.allEntries()))
	if err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	go e.loop()
	return e, nil
}

// start starts the next process of the entry.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	out, err := os.Create(e.logFile(e.starts))
	if err != nil {
		return eris.Wrap(ErrFleet, err.Error())
	}
	// The process has descriptors of its own.
	defer func() { _ = out.Close() }()
	e.life = &trail.Life{Entry: fmt.Sprintf("%s/%d", e.name, e.starts), Begin: e.fleet.Clock.Now()}
	e.process = &child.Process{Name: e.name, Front: e.front, Admin: e.admin, Stdout: out, Stderr: out}
	if err := e.process.Start(e.fleet.Binary, e.settings); err != nil {
		return eris.Wrap(ErrFleet, err.Error())
	}
	life := e.life
	e.fleet.Trail.Update(func() { e.fleet.Trail.Lives = append(e.fleet.Trail.Lives, life) })
	return nil
}

func (e *entry) logFile(n int) string {
	return filepath.Join(e.fleet.Dir, fmt.Sprintf("%s.%d.log", e.name, n))
}

// loop starts a new process after each exit until the fleet closes or the entry retires; it is a goroutine.
func (e *entry) loop() {
	defer close(e.ended)
	for {
		process, life := e.current()
		<-process.Done()
		now, closing := e.fleet.Clock.Now(), e.isClosing()
		e.fleet.Trail.Update(func() {
			life.Panics = panics(e.logFile(e.starts))
			if !closing {
				life.End, life.Code = now, process.ExitCode()
			}
		})
		if closing || e.isRetired() {
			return
		}
		e.fleet.sleep(restartDelay)
		if e.isClosing() || e.start() != nil {
			return
		}
	}
}

func (e *entry) current() (*child.Process, *trail.Life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.life
}

func (e *entry) isClosing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closing
}

func (e *entry) isRetired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retired
}

// isGone reports whether the entry has retired and its last process has exited.
func (e *entry) isGone() bool {
	process, _ := e.current()
	return e.isRetired() && !process.Running()
}

// close kills the process, without a record of its exit.
func (e *entry) close() {
	e.mu.Lock()
	e.closing = true
	process := e.process
	e.mu.Unlock()
	process.Signal(syscall.SIGCONT)
	process.Kill()
	<-e.ended
	for _, r := range []*relay.Relay{e.callerRelay, e.storeRelay, e.peerRelay} {
		if r != nil {
			r.Close()
		}
	}
}

// panics returns the lines of a log that tell of panics.
func panics(file string) []string {
	f, err := os.Open(file)
	if err != nil {
		return []string{"the log cannot be read: " + err.Error()}
	}
	defer func() { _ = f.Close() }()
	var out []string
	lines := bufio.NewReader(f)
	for {
		line, err := lines.ReadString('\n')
		for _, mark := range []string{`"msg":"panic"`, "panic: ", "panic serving", "fatal error: ", "DATA RACE"} {
			if strings.Contains(line, mark) && len(out) < maxPanicLines {
				out = append(out, strings.TrimSpace(line))
				break
			}
		}
		if err != nil {
			return out
		}
	}
}

// target returns the current process as the target of a connection.
func (e *entry) target() (caller.Target, bool) {
	process, life := e.current()
	return caller.Target{Entry: life.Entry, Addr: through(e.callerRelay, e.front)}, process.Running()
}

// checkReady asks the process whether it is ready, and records the first time that it is.
func (e *entry) checkReady() bool {
	process, life := e.current()
	ok := process.CheckReady()
	if ok {
		now := e.fleet.Clock.Now()
		e.fleet.Trail.Update(func() {
			if life.Ready.IsZero() {
				life.Ready = now
			}
		})
	}
	return ok
}

// loopPolls checks the entry as the platform's balancer does, and takes samples of what it uses; it is a goroutine.
func (e *entry) loopPolls() {
	for !e.isClosing() && !e.isGone() {
		ok := e.checkReady()
		e.mu.Lock()
		e.misses++
		if ok {
			e.misses = 0
		}
		e.mu.Unlock()
		e.sample(ok, false)
		e.fleet.sleep(balancerInterval)
	}
}

func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.misses < maxMisses
}

// Sample samples what each entry uses while no caller has a connection.
func (f *Fleet) Sample() {
	for _, e := range f.allEntries() {
		e.sample(true, true)
	}
}

// sample records the configuration that the process has in force and, if it is ready, what it uses.
func (e *entry) sample(ready, idle bool) {
	_, life := e.current()
	v := trail.View{Entry: life.Entry, At: e.fleet.Clock.Now()}
	res, err := metricsClient.Get("http://" + e.admin.String() + "/metrics")
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	s := trail.Sample{Entry: life.Entry, At: e.fleet.Clock.Now(), Idle: idle}
	var era, number int64
	for line := range strings.Lines(string(body)) {
		var name string
		var value float64
		if _, err := fmt.Sscan(line, &name, &value); err != nil {
			continue
		}
		switch name {
		case "go_goroutines":
			s.Goroutines = int(value)
		case "process_open_fds":
			s.Files = int(value)
		case "process_resident_memory_bytes":
			s.MemoryBytes = int64(value)
		case "balsamvale_configuration_revision":
			number = int64(value)
		case "balsamvale_store_era":
			era = int64(value)
		}
	}
	v.Revision = revno.New(era, number)
	e.fleet.Trail.Update(func() {
		e.fleet.Trail.Views = append(e.fleet.Trail.Views, v)
		if ready {
			e.fleet.Trail.Samples = append(e.fleet.Trail.Samples, s)
		}
	})
}

// metricsClient reads metrics; it keeps no connections, since these would count as the entry's own.
var metricsClient = &http.Client{Timeout: time.Second, Transport: &intact.Transport{Base: &http.Transport{
	DialContext: resets.DialContext(&net.Dialer{}), DisableKeepAlives: true,
}}}

// stop sends SIGTERM, and kills the process if it outlives its grace time by too much.
func (e *entry) stop() {
	process, life := e.current()
	now := e.fleet.Clock.Now()
	e.fleet.Trail.Update(func() {
		if life.Stopped.IsZero() {
			life.Stopped = now
		}
	})
	process.Signal(syscall.SIGTERM)
	t, cancel := e.fleet.Clock.Timer(killTime)
	defer cancel()
	select {
	case <-process.Done():
	case <-t:
		process.Kill()
	}
}

// kill sends SIGKILL.
func (e *entry) kill() {
	process, life := e.current()
	now := e.fleet.Clock.Now()
	e.fleet.Trail.Update(func() {
		if life.Killed.IsZero() {
			life.Killed = now
		}
	})
	process.Kill()
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	process, _ := e.current()
	process.Signal(s)
}

// limitFiles limits the descriptors of the process.
func (e *entry) limitFiles(n uint64) {
	process, _ := e.current()
	_ = unix.Prlimit(process.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// awaitStop waits until a process that is stopping has exited.
func (e *entry) awaitStop() {
	process, life := e.current()
	var stopped bool
	e.fleet.Trail.Update(func() { stopped = !life.Stopped.IsZero() })
	if !stopped {
		return
	}
	t, cancel := e.fleet.Clock.Timer(killTime)
	defer cancel()
	select {
	case <-process.Done():
	case <-t:
	}
}
