package core

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/events/deed"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/signal"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
)

// errand is one effect that takes its time; its run method is a goroutine.
type errand struct {
	core   *Core
	ctx    context.Context
	effect effect.Effect
}

func (e *errand) run() {
	defer e.core.errands.Done()
	ef := &e.effect
	switch ef.Action {
	case deed.CallStore:
		e.reply(e.core.Do(e.ctx, ef.Request))
	case deed.SendDigest:
		e.send()
	case deed.RequestCredits:
		if cs, err := e.core.Ask(e.ctx, ef.Addr, ef.Demand); err == nil && len(cs) > 0 {
			e.core.credit(ef.Demand, cs)
		}
	case deed.ProbeUpstream:
		e.probe()
	}
}

// reply hands a reply to control; it is never dropped, since an order waits for it.
func (e *errand) reply(r reply.Response) {
	select {
	case e.core.events <- event.Event{Kind: signal.StoreResponse, Response: r}:
	case <-e.core.done:
	}
}

func (e *errand) send() {
	d, err := e.core.Tell(e.ctx, e.effect.Addr, e.effect.Digest)
	if err != nil {
		e.core.post(event.Event{Kind: signal.PeerUnreachable, Peer: e.effect.Peer})
		return
	}
	e.core.post(event.Event{Kind: signal.DigestAnswered, Digest: d})
}

// probe asks an upstream for its load.
func (e *errand) probe() {
	p := e.core.table.Load().pools[e.effect.Service]
	if p == nil {
		return
	}
	r := e.core.Probe(e.ctx, e.effect.Upstream, e.effect.Addr, tune.LoadPath)
	p.RecordProbe(e.core.clock.Now(), e.effect.Upstream, &r)
}
