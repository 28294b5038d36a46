package front

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// asker asks one upstream for its load; its run method is a goroutine.
type asker struct {
	front  *Front
	place  place
	target *target.Target
	// heard gets whether the upstream is free and undisturbed.
	heard chan<- bool
}

// run reports to the pool also when the call has gone on without it.
func (a *asker) run() {
	path := a.place.service.LoadPath
	if path == "" {
		path = tune.LoadPath
	}
	r := a.front.Probe(context.Background(), a.target.Name, a.target.Addr, path)
	a.heard <- a.place.pool.RecordProbe(a.front.Clock.Now(), a.target.Name, &r)
}

// ask asks the upstreams of a step, and goes on with the first that is free, or when all have answered or time is up.
func (e *exchange) ask(s step.Step) step.Step {
	heard := make(chan bool, len(s.ProbeTargets))
	for _, t := range s.ProbeTargets {
		go (&asker{front: e.front, place: e.place, target: t, heard: heard}).run()
	}
	rings, stop := e.front.Clock.Timer(s.TimerAt.Sub(e.now()))
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
