package proxy

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// loadProbe requests the load report of one upstream; its run method is a goroutine.
type loadProbe struct {
	handler *Handler
	match   routeMatch
	target  *target.Target
	// available receives whether the upstream has a free slot and is not slowed down.
	available chan<- bool
}

// run sends the probe and records its result in the pool, even if the call no longer waits for it. After a panic, the
// upstream counts as not available.
func (p *loadProbe) run() {
	defer func() {
		if v := recover(); v != nil {
			p.handler.Log.Panic("probe of "+p.target.Name, "", v)
			p.available <- false
		}
	}()
	path := p.match.service.LoadPath
	if path == "" {
		path = tune.DefaultLoadPath
	}
	r := p.handler.Probe(context.Background(), p.target.Name, p.target.Addr, path)
	p.available <- p.match.pool.RecordProbe(p.handler.Clock.Now(), p.target.Name, &r)
}

// probeCandidates probes the upstreams of a step concurrently. It returns the next step as soon as one upstream is free, all
// probes have ended, the step times out, or the caller goes away.
func (d *callDriver) probeCandidates(s step.Step) step.Step {
	available := make(chan bool, len(s.ProbeTargets))
	for _, t := range s.ProbeTargets {
		go (&loadProbe{handler: d.handler, match: d.match, target: t, available: available}).run()
	}
	fired, stop := d.handler.Clock.Timer(s.TimerAt.Sub(d.now()))
	defer stop()
	for range s.ProbeTargets {
		select {
		case free := <-available:
			if free {
				return d.flow.Probed(d.now(), true)
			}
		case <-fired:
			return d.flow.Probed(d.now(), false)
		case <-d.r.Context().Done():
			return d.flow.Cancel(d.now())
		}
	}
	return d.flow.Probed(d.now(), false)
}
