package daemon

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/balsamvale/balsamvale/internal/build"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

const (
	// connFilesShare is the part of the descriptors that callers' connections may take. The rest is for upstreams, the store,
	// peers, admin requests and files.
	connFilesShare = 0.75
	// connMemoryShare is the part of the memory that callers' connections may take.
	connMemoryShare = 0.75
	// callMemoryShare is the part of the memory that connections, pipelined requests and bodies may take together. The rest is
	// for control and for garbage.
	callMemoryShare = 0.7
	// pressureInterval bounds how often a lack of room for connections is logged, and idle connections to upstreams are closed.
	pressureInterval = time.Second
)

// maxCallerConns returns the number of callers' connections that fit the descriptors of the process (0 if only the system's
// limit is known) and its memory limit in bytes (0 for none). It returns 0, which means no limit, if nothing is known.
func maxCallerConns(files int, memory int64) int {
	if n := build.New().Files(); n > 0 && (files == 0 || n < files) {
		files = n
	}
	conns := int(connFilesShare * float64(files))
	if memory > 0 {
		if fit := int(connMemoryShare * float64(memory) / tune.ConnMemory); conns == 0 || fit < conns {
			conns = max(1, fit)
		}
	}
	return conns
}

// onPressure logs that there is no room for further connections: MaxConns are open, or Accept has failed. If it failed for lack of
// descriptors, idle connections to upstreams close as well.
func (d *Daemon) onPressure(conns int, err error) {
	now := d.clock.Now()
	if now.Sub(d.pressureAt) < pressureInterval {
		return
	}
	d.pressureAt = now
	d.log.Warn("closing idle connections of callers to make room", zap.Int("conns", conns), zap.Int("limit", d.maxConns), zap.Error(err))
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		d.upstreams.CloseIdle()
	}
}
