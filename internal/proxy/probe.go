package proxy

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// loadProbe asks one upstream for its load; its run method is a goroutine.
type loadProbe struct {
	handler *Handler
	match   routeMatch
	target  *target.Target
	// available gets whether the upstream is free and undisturbed.
	available chan<- bool
}

// run reports to the pool also when the call has gone on without it.
func (a *loadProbe) run() {
	path := a.match.service.LoadPath
	if path == "" {
		path = tune.LoadPath
	}
	r := a.handler.Probe(context.Background(), a.target.Name, a.target.Addr, path)
	a.available <- a.match.pool.RecordProbe(a.handler.Clock.Now(), a.target.Name, &r)
}

// probeCandidates asks the upstreams of a step, and goes on with the first that is free, or when all have answered or time is up.
func (e *callDriver) probeCandidates(s step.Step) step.Step {
	heard := make(chan bool, len(s.ProbeTargets))
	for _, t := range s.ProbeTargets {
		go (&loadProbe{handler: e.handler, match: e.match, target: t, available: heard}).run()
	}
	rings, stop := e.handler.Clock.Timer(s.TimerAt.Sub(e.now()))
	defer stop()
	for range s.ProbeTargets {
		select {
		case good := <-heard:
			if good {
				return e.flow.Probed(e.now(), true)
			}
		case <-rings:
			return e.flow.Probed(e.now(), false)
		case <-e.r.Context().Done():
			return e.flow.Cancel(e.now())
		}
	}
	return e.flow.Probed(e.now(), false)
}
