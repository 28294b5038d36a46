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

// effectTask is one effect that takes its time; its run method is a goroutine.
type effectTask struct {
	core   *Core
	ctx    context.Context
	effect effect.Effect
}

func (e *effectTask) run() {
	defer e.core.tasks.Done()
	ef := &e.effect
	switch ef.Action {
	case deed.CallStore:
		e.postReply(e.core.CallStore(e.ctx, ef.Request))
	case deed.SendDigest:
		e.sendDigest()
	case deed.RequestCredits:
		if cs, err := e.core.RequestCredits(e.ctx, ef.Addr, ef.Demand); err == nil && len(cs) > 0 {
			e.core.grantCredits(ef.Demand, cs)
		}
	case deed.ProbeUpstream:
		e.probe()
	}
}

// postReply hands a reply to control; it is never dropped, since an order waits for it.
func (e *effectTask) postReply(r reply.Response) {
	select {
	case e.core.events <- event.Event{Kind: signal.StoreResponse, Response: r}:
	case <-e.core.done:
	}
}

func (e *effectTask) sendDigest() {
	d, err := e.core.SendDigest(e.ctx, e.effect.Addr, e.effect.Digest)
	if err != nil {
		e.core.postOrDrop(event.Event{Kind: signal.PeerUnreachable, Peer: e.effect.Peer})
		return
	}
	e.core.postOrDrop(event.Event{Kind: signal.DigestAnswered, Digest: d})
}

// probe asks an upstream for its load.
func (e *effectTask) probe() {
	p := e.core.view.Load().pools[e.effect.Service]
	if p == nil {
		return
	}
	r := e.core.Probe(e.ctx, e.effect.Upstream, e.effect.Addr, tune.LoadPath)
	p.RecordProbe(e.core.clock.Now(), e.effect.Upstream, &r)
}
