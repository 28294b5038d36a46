package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// silentPeer is a peer that answers digests until it goes silent.
type silentPeer struct {
	name   string
	addr   netip.AddrPort
	silent atomic.Bool
	ended  chan struct{}

	mu sync.Mutex
	// open has the connections from the entry, by the state that the server sees.
	open map[net.Conn]http.ConnState
}

// newSilentPeer starts the server of a peer. One of an older build speaks HTTP/1.1 only.
func newSilentPeer(name string, http2 bool) *silentPeer {
	p := &silentPeer{name: name, ended: make(chan struct{}), open: map[net.Conn]http.ConnState{}}
	s := peers.New(clock.Wall(), &http.Client{})
	s.Submit = p.submit
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.ConnState = p.track
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(http2)
	srv.Start()
	DeferCleanup(func() {
		close(p.ended)
		srv.Close()
	})
	p.addr = address(srv)
	return p
}

func (p *silentPeer) submit(context.Context, event.Event) (effect.Effect, error) {
	if p.silent.Load() {
		<-p.ended
	}
	return effect.Effect{Digest: digest.Digest{From: p.name}}, nil
}

func (p *silentPeer) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = s
	if s == http.StateClosed {
		delete(p.open, c)
	}
}

// idle returns the number of connections that the entry keeps without a request.
func (p *silentPeer) idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.open {
		if s == http.StateIdle {
			n++
		}
	}
	return n
}

// Guards against exchanges with peers that time out one after the other once all open connections between entries are
// silent: the news of each peer is late by the timeout of an exchange.
var _ = Describe("An entry whose connections to peers went silent", func() {
	for _, tc := range []struct {
		name  string
		http2 bool
	}{{"HTTP/1.1", false}, {"HTTP/2", true}} {
		It("closes its idle connections to all peers after one exchange without an answer, over "+tc.name, func() {
			up := httptest.NewServer(&pathLog{})
			DeferCleanup(up.Close)
			var all []*silentPeer
			o := &option.Options{ShutdownDelay: time.Millisecond, DrainTimeout: time.Second, HandoverTimeout: time.Millisecond}
			for i := range 4 {
				p := newSilentPeer(fmt.Sprintf("p%d", i), tc.http2)
				all, o.Seeds = append(all, p), append(o.Seeds, p.addr)
			}
			stop, done := startDaemon(up, o)
			DeferCleanup(func() {
				stop()
				Eventually(done, "5s").Should(Receive())
			})
			for _, p := range all {
				Eventually(p.idle, "2s").Should(Equal(1), "an entry contacts its seeds when it starts")
			}

			for _, p := range all {
				p.silent.Store(true)
			}
			By("making one of them a member, with which the entry exchanges digests")
			call := store.New(clock.Wall(), &http.Client{}, o.Store).Seams().CallStore
			ctx := context.Background()
			lease := call(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Minute}).LeaseID
			m := &member.Member{Name: all[0].name, Domain: "zone-1", Peer: all[0].addr, Incarnation: 1}
			Expect(call(ctx, kvreq.Request{Op: kvop.CompareAndSwap, Key: keys.Member(m.Name), Value: value.Value{Member: m}, LeaseID: lease}).Applied).To(BeTrue())
			for _, p := range all {
				Eventually(p.idle, 4*tune.PeerTimeout).Should(BeZero())
			}
		})
	}
})
