package child

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// ErrStart is matched by the errors of a process that could not be started.
var ErrStart = eris.New("cannot start the process")

// Process is an entry that runs as a process of its own.
type Process struct {
	// Name is the name of the entry.
	Name string
	// Front and Admin are the addresses of the entry for callers and for health checks.
	Front netip.AddrPort
	Admin netip.AddrPort
	// Stdout and Stderr receive the output of the process.
	Stdout io.Writer
	Stderr io.Writer

	cmd      *exec.Cmd
	ready    atomic.Bool
	done     chan struct{}
	exitCode atomic.Int64
}

// Start runs the serve command of a program; errors match ErrStart.
func (p *Process) Start(binary, settings string) error {
	p.cmd = exec.Command(binary, "serve", settings)
	p.cmd.Stdout, p.cmd.Stderr = p.Stdout, p.Stderr
	p.done = make(chan struct{})
	p.exitCode.Store(-1)
	if err := p.cmd.Start(); err != nil {
		close(p.done)
		return eris.Wrap(ErrStart, err.Error())
	}
	go p.run()
	return nil
}

// run waits for the process to exit and records its exit code; it is a goroutine.
func (p *Process) run() {
	defer close(p.done)
	if err := p.cmd.Wait(); err == nil {
		p.exitCode.Store(0)
	} else if p.cmd.ProcessState != nil {
		p.exitCode.Store(int64(p.cmd.ProcessState.ExitCode()))
	}
	p.ready.Store(false)
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code; it is -1 until the process has exited, and stays so if a signal ended it.
func (p *Process) ExitCode() int { return int(p.exitCode.Load()) }

// Ready returns the result of the last readiness check; false after the process has exited.
func (p *Process) Ready() bool { return p.ready.Load() }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// State returns the state of the process once it has exited; nil before.
func (p *Process) State() *os.ProcessState {
	if p.Running() {
		return nil
	}
	return p.cmd.ProcessState
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// pollClient makes the readiness checks.
var pollClient = &http.Client{Timeout: time.Second, Transport: redial.New(tune.PeerConnIdle)}

// CheckReady asks the admin address of the entry whether it is ready, as the platform's health checks do.
func (p *Process) CheckReady() bool {
	res, err := pollClient.Get("http://" + p.Admin.String() + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	p.ready.Store(ok)
	return ok
}

// Signal sends a signal to the process, if it was started and has not exited.
func (p *Process) Signal(s os.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}
