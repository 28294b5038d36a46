package core

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
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
	case action.CallStore:
		e.postReply(e.core.CallStore(e.ctx, ef.Request))
	case action.SendDigest:
		e.sendDigest()
	case action.RequestCredits:
		if cs, err := e.core.RequestCredits(e.ctx, ef.Addr, ef.Demand); err == nil && len(cs) > 0 {
			e.core.grantCredits(ef.Demand, cs)
		}
	case action.ProbeUpstream:
		e.probe()
	}
}

// postReply hands a reply to control; it is never dropped, since an order waits for it.
func (e *effectTask) postReply(r kvresp.Response) {
	select {
	case e.core.events <- event.Event{Kind: evkind.StoreResponse, Response: r}:
	case <-e.core.done:
	}
}

func (e *effectTask) sendDigest() {
	d, err := e.core.SendDigest(e.ctx, e.effect.Addr, e.effect.Digest)
	if err != nil {
		e.core.postOrDrop(event.Event{Kind: evkind.PeerUnreachable, Peer: e.effect.Peer})
		return
	}
	e.core.postOrDrop(event.Event{Kind: evkind.DigestAnswered, Digest: d})
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
