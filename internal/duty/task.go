package duty

import (
	"context"
	"net/netip"
	"time"

	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
)

// storeTask sends one request to the store; its run method is a goroutine.
type storeTask struct {
	runner *Runner
	ctx    context.Context
	req    kvreq.Request
}

func (t *storeTask) run() {
	resp := t.runner.CallStore(t.ctx, t.req)
	resp.ID = t.req.ID
	select {
	case t.runner.responses <- resp:
	case <-t.runner.done:
	}
}

// handoverTask hands counts over to the holder; its run method is a goroutine.
type handoverTask struct {
	runner   *Runner
	ctx      context.Context
	number   int
	addr     netip.AddrPort
	handover handov.Handover
}

func (t *handoverTask) run() {
	a, err := t.runner.SendUsage(t.ctx, t.addr, t.handover)
	select {
	case t.runner.acks <- handedOver{t.number, a, err}:
	case <-t.runner.done:
	}
}

// reportTask sends one report, which has to be sent by a time; its run method is a goroutine.
type reportTask struct {
	runner *Runner
	ctx    context.Context
	usage  usage.Usage
	token  int64
	until  time.Time
}

func (t *reportTask) run() {
	out := reported{window: t.usage.Window, token: t.token}
	// The process may have been paused since the report was due.
	if now := t.runner.clock.Now(); clock.Elapsed(now, t.until) < 0 {
		ctx, cancel := context.WithTimeout(t.ctx, t.until.Sub(now))
		out.status, out.err = t.runner.Report(ctx, t.runner.self.Name, t.token, t.usage)
		cancel()
	}
	select {
	case t.runner.reports <- out:
	case <-t.runner.done:
	}
}
