package core_test

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/core"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core")
}

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// decodeGate holds the decoding of one item up until gate is closed.
type decodeGate struct{ entered, gate chan struct{} }

// blockDecode holds up the next decoding; nil for none.
var blockDecode atomic.Pointer[decodeGate]

// brokenCore starts a core whose functions panic at the given point: "decode", "store", "digest".
func brokenCore(at string) (*core.Core, *lockedBuffer) {
	out := &lockedBuffer{}
	log := logs.New(out, clock.Wall(), zapcore.InfoLevel, 1)
	DeferCleanup(log.Close)
	explode := func(point string) {
		if at == point {
			panic("unexpected " + point)
		}
	}
	self := member.Member{Name: "e1", Domain: "z", Peer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2")}
	co := core.New(clock.Wall(), log, self, seeds, 1, func(it item.Item) (value.Value, error) {
		explode("decode")
		if g := blockDecode.Swap(nil); g != nil {
			close(g.entered)
			<-g.gate
		}
		if it.Key == keys.Record("set", "") {
			return value.Value{Batch: &batch.Batch{Warnings: []string{"a limit is too high"}}}, nil
		}
		if name, ok := strings.CutPrefix(it.Key, keys.Record("upstream", "")); ok {
			return value.Value{Record: &record.Record{Upstream: &upsrec.Upstream{Name: name, Service: "s"}}}, nil
		}
		return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: strings.TrimPrefix(it.Key, keys.Record("service", ""))}}}, nil
	})
	co.CallStore = func(_ context.Context, req kvreq.Request) kvresp.Response {
		explode("store")
		if req.Op != kvop.List {
			return kvresp.Response{ID: req.ID, OutcomeUnknown: true}
		}
		return kvresp.Response{ID: req.ID, Applied: true, Revision: 7, Items: []item.Item{{Key: keys.Record("service", "s"), Revision: 7}}}
	}
	co.SendDigest = func(context.Context, *effect.Effect) (digest.Digest, error) {
		explode("digest")
		return digest.Digest{}, core.ErrStopped
	}
	co.Probe = func(context.Context, string, netip.AddrPort, string) result.Result { return result.Result{} }
	co.RequestCredits = func(context.Context, *effect.Effect) ([]credit.Credit, error) { return nil, nil }
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	co.Start(ctx)
	return co, out
}

// An unexpected error in one message must not end the process, and the one who waits for its answer must not wait forever.
var _ = Describe("A panic", func() {
	for _, tc := range []struct {
		name, at string
	}{
		{"in decoding a stored value", "decode"},
		{"in a store call", "store"},
		{"in an exchange with a peer", "digest"},
	} {
		It("leaves control running: "+tc.name, func() {
			co, out := brokenCore(tc.at)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			d := digest.Digest{From: "e2", Revision: 9, Delta: delta.Delta{
				Items: []item.Item{{Key: keys.Record("service", "t"), Revision: 9}}, Revision: 9, Full: true,
			}}
			answered := make(chan error, 1)
			go func() {
				_, err := co.Submit(ctx, event.Event{Kind: evkind.DigestReceived, Digest: d})
				answered <- err
			}()
			Eventually(answered, "1s").Should(Receive())
			Eventually(out.String, "1s").Should(ContainSubstring("unexpected " + tc.at))
			_, err := co.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
		})
	}
})

var _ = Describe("An entry that stops", func() {
	It("is not made ready again by a configuration that comes into force meanwhile", func() {
		co, _ := brokenCore("")
		Eventually(co.Ready, "3s").Should(BeTrue())
		entered, gate := make(chan struct{}), make(chan struct{})
		blockDecode.Store(&decodeGate{entered, gate})
		DeferCleanup(func() { blockDecode.Store(nil) })
		d := digest.Digest{From: "e2", Revision: 99, Delta: delta.Delta{
			Items: []item.Item{{Key: keys.Record("service", "t"), Revision: 99}}, Revision: 99, Full: true,
		}}
		go func() { _, _ = co.Submit(context.Background(), event.Event{Kind: evkind.DigestReceived, Digest: d}) }()
		Eventually(entered).Should(BeClosed())
		// Control is putting the configuration in force when the stop begins.
		co.Drain()
		close(gate)
		Consistently(co.Ready, "200ms").Should(BeFalse())
	})
})
