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

// process is one entry.
type process struct {
	name  string
	front netip.AddrPort
	admin netip.AddrPort
	cmd   *exec.Cmd
	// ready is what the stand-in of the platform's balancer last saw.
	ready    atomic.Bool
	done     chan struct{}
	exitCode atomic.Int64
}

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

// run waits for the end of the process.
func (p *process) run() {
	defer close(p.done)
	if err := p.cmd.Wait(); err == nil {
		p.exitCode.Store(0)
	} else if p.cmd.ProcessState != nil {
		p.exitCode.Store(int64(p.cmd.ProcessState.ExitCode()))
	}
	p.ready.Store(false)
}

var pollClient = &http.Client{Timeout: time.Second}

// checkReady asks for readiness as a balancer does.
func (p *process) checkReady() bool {
	res, err := pollClient.Get("http://" + p.admin.String() + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	p.ready.Store(ok)
	return ok
}

func (p *process) signal(s os.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill stops the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.cmd != nil && p.cmd.Process != nil {
		<-p.done
	}
}
