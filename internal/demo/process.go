package demo

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
)

// process is an entry that runs as a process of its own.
type process struct {
	name  string
	front netip.AddrPort
	admin netip.AddrPort
	cmd   *exec.Cmd
	// ready is the result of the last readiness check; false after the process has exited.
	ready atomic.Bool
	// done is closed when the process has exited.
	done chan struct{}
	// exitCode is -1 until the process has exited, and stays so if a signal ended it.
	exitCode atomic.Int64
}

// start starts the entry; errors match ErrDemo.
func (p *process) start(binary, settings string, logs io.Writer) error {
	p.cmd = exec.Command(binary, "serve", settings)
	p.cmd.Stderr = logs
	p.exitCode.Store(-1)
	if err := p.cmd.Start(); err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	go p.run()
	return nil
}

// run waits for the process to exit and records its exit code; it is a goroutine.
func (p *process) run() {
	defer close(p.done)
	if err := p.cmd.Wait(); err == nil {
		p.exitCode.Store(0)
	} else if p.cmd.ProcessState != nil {
		p.exitCode.Store(int64(p.cmd.ProcessState.ExitCode()))
	}
	p.ready.Store(false)
}

// pollClient makes the readiness checks.
var pollClient = &http.Client{Timeout: time.Second}

// checkReady asks the admin address of the entry whether it is ready, as the platform's health checks do.
func (p *process) checkReady() bool {
	res, err := pollClient.Get("http://" + p.admin.String() + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	p.ready.Store(ok)
	return ok
}

// signal sends a signal to the process, if it was started.
func (p *process) signal(s os.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.cmd != nil && p.cmd.Process != nil {
		<-p.done
	}
}
