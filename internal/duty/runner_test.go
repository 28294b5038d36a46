package duty_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/duty"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/duties/ack"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/ledger"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

const (
	window = time.Second
	late   = 5 * time.Second
	lease  = time.Second
)

var errCut = errors.New("cut")

// cloud is the platform's interface: it keeps the first report of each window and what is wrong with others.
type cloud struct {
	mu      sync.Mutex
	reports map[int64]usage.Usage
	after   map[int64]time.Duration
	highest int64
	holders map[int64]string
	wrong   []string
	// down makes calls fail; mute makes it take them without an answer; busy makes it answer 429.
	down, mute, busy bool
}

func (c *cloud) report(_ context.Context, holder string, token int64, u usage.Usage) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		return 0, errCut
	case c.busy:
		return http.StatusTooManyRequests, nil
	case token < c.highest:
		return http.StatusConflict, nil
	}
	if by, ok := c.holders[token]; ok && by != holder {
		c.wrong = append(c.wrong, fmt.Sprint("two holders of token ", token))
	}
	c.holders[token], c.highest = holder, token
	if old, ok := c.reports[u.Window]; ok && !maps.Equal(old.Counts, u.Counts) {
		c.wrong = append(c.wrong, fmt.Sprint("two reports of window ", u.Window, ": ", old.Counts, u.Counts))
	} else if !ok {
		c.reports[u.Window] = usage.Usage{Window: u.Window, Counts: maps.Clone(u.Counts)}
		c.after[u.Window] = time.Since(time.Unix(u.Window+1, 0))
	}
	if c.mute {
		return 0, errCut
	}
	return http.StatusOK, nil
}

func (c *cloud) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// host is an entry that counts calls all the time; its loop method is a goroutine.
type host struct {
	fleet  *fleet
	name   string
	runner *duty.Runner
	cancel context.CancelFunc
	calls  chan struct{}
	// counted holds the calls that were counted, by window; loop owns it until calls is closed.
	counted map[int64]int64
	ended   chan struct{}
	// cutStore cuts the entry off from the store.
	cutStore atomic.Bool
	// excused is set if what the entry has counted may be missing: it was killed, or cut off from the store as the duty changed hands,
	// so that it could not find the next holder.
	excused bool
}

func (h *host) loop() {
	defer close(h.ended)
	for {
		select {
		case <-h.calls:
			return
		case <-time.After(5 * time.Millisecond):
		}
		at := time.Now()
		h.runner.Meter.Begin("a", at)
		h.counted[ledger.WindowOf(at, window)]++
	}
}

// stopCalls ends the calls of the host.
func (h *host) stopCalls() {
	close(h.calls)
	<-h.ended
}

type fleet struct {
	kv    *kvsim.Server
	store *store.Client
	cloud *cloud
	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
	all   []*host
}

func newFleet(n int) *fleet {
	f := &fleet{kv: kvsim.New(clock.Wall(), 1), cloud: &cloud{reports: map[int64]usage.Usage{}, after: map[int64]time.Duration{}, holders: map[int64]string{}}, hosts: map[netip.AddrPort]*host{}}
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(f.kv))
	srv := httptest.NewServer(mux)
	DeferCleanup(srv.Close)
	f.store = store.New(clock.Wall(), &http.Client{}, []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))})
	for i := range n {
		f.start(i, 1)
	}
	return f
}

// start starts the entry with an index.
func (f *fleet) start(i int, incarnation uint64) *host {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(incarnation), byte(i)}), 1)
	self := member.Member{Name: fmt.Sprint("e", i), Peer: addr, Incarnation: incarnation}
	log := logs.New(io.Discard, clock.Wall(), zapcore.ErrorLevel, 1)
	h := &host{fleet: f, name: self.Name, calls: make(chan struct{}), ended: make(chan struct{}), counted: map[int64]int64{}}
	h.runner = duty.New(clock.Wall(), log, self, &option.Options{DutyLease: lease, DutyRate: 50, UsageWindow: window, UsageLate: late})
	h.runner.CallStore = func(ctx context.Context, req kvreq.Request) kvresp.Response {
		if h.cutStore.Load() {
			return kvresp.Response{ID: req.ID, OutcomeUnknown: true}
		}
		return f.store.Do(ctx, req)
	}
	h.runner.SendUsage, h.runner.Report = f.send, f.cloud.report
	h.runner.Active = func() bool { return true }
	h.runner.Entries, h.runner.Rank = func() int { return 3 }, func() int { return 2 * i }
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	DeferCleanup(h.cancel)
	f.mu.Lock()
	f.hosts[addr] = h
	f.all = append(f.all, h)
	f.mu.Unlock()
	h.runner.Start(ctx)
	go h.loop()
	return h
}

// send hands counts over to the entry at an address.
func (f *fleet) send(ctx context.Context, addr netip.AddrPort, h handov.Handover) (ack.Ack, error) {
	f.mu.Lock()
	to := f.hosts[addr]
	f.mu.Unlock()
	if to == nil {
		return ack.Ack{}, errCut
	}
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	return to.runner.Take(ctx, h)
}

// holder returns the entry that holds the duty.
func (f *fleet) holder() (holder *host) {
	Eventually(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, h := range f.all {
			if h.runner.Held() {
				holder = h
				return true
			}
		}
		return false
	}, "10s", "10ms").Should(BeTrue())
	return holder
}

// kill ends an entry at once.
func (f *fleet) kill(h *host) {
	h.stopCalls()
	h.cancel()
	h.excused = true
	f.forget(h)
}

func (f *fleet) forget(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.hosts, func(_ netip.AddrPort, other *host) bool { return other == h })
}

// Guards against counts that are lost or counted twice, windows that are reported twice, late or never, and two holders, as holders
// are killed, stopped and cut off, and as the interface fails.
var _ = Describe("Usage reports of a fleet", func() {
	for _, tc := range []struct {
		name    string
		trouble func(f *fleet)
	}{
		{"on a calm day", func(*fleet) {}},
		{"while the holder is killed", func(f *fleet) { f.kill(f.holder()) }},
		{"while the holder is stopped as planned", func(f *fleet) {
			h := f.holder()
			h.stopCalls()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			h.runner.Stop(ctx)
			Expect(ctx.Err()).NotTo(HaveOccurred())
			h.cancel()
			f.forget(h)
		}},
		{"while another entry is stopped as planned and started again", func(f *fleet) {
			holder := f.holder()
			for i, h := range f.all {
				if h == holder {
					continue
				}
				h.stopCalls()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				h.runner.Stop(ctx)
				Expect(ctx.Err()).NotTo(HaveOccurred())
				cancel()
				h.cancel()
				f.forget(h)
				f.start(i, 2)
				return
			}
		}},
		{"while the holder is cut off from the store", func(f *fleet) {
			h := f.holder()
			h.cutStore.Store(true)
			h.excused = true
			time.Sleep(2500 * time.Millisecond)
			Expect(h.runner.Held()).To(BeFalse())
			h.cutStore.Store(false)
		}},
		{"while the interface is down", func(f *fleet) {
			f.cloud.set(func() { f.cloud.down = true })
			time.Sleep(2 * time.Second)
			f.cloud.set(func() { f.cloud.down = false })
		}},
		{"while the interface takes reports without an answer", func(f *fleet) {
			f.cloud.set(func() { f.cloud.mute = true })
			time.Sleep(2 * time.Second)
			f.cloud.set(func() { f.cloud.mute = false })
		}},
		{"while the interface takes no more calls", func(f *fleet) {
			f.cloud.set(func() { f.cloud.busy = true })
			time.Sleep(2 * time.Second)
			f.cloud.set(func() { f.cloud.busy = false })
		}},
		{"after a higher token was seen", func(f *fleet) { f.cloud.set(func() { f.cloud.highest += 3 }) }},
	} {
		It("are whole, in time and sent by one holder: "+tc.name, func() {
			f := newFleet(3)
			f.holder()
			begin := ledger.WindowOf(time.Now(), window) + 1
			time.Sleep(1500 * time.Millisecond)
			tc.trouble(f)
			time.Sleep(1500 * time.Millisecond)
			end := ledger.WindowOf(time.Now(), window)
			Eventually(func() int {
				f.cloud.mu.Lock()
				defer f.cloud.mu.Unlock()
				return f.missing(begin, end)
			}, "12s", "50ms").Should(BeZero())
			for _, h := range f.all {
				select {
				case <-h.ended:
				default:
					h.stopCalls()
				}
				h.cancel()
			}
			f.cloud.mu.Lock()
			defer f.cloud.mu.Unlock()
			Expect(f.cloud.wrong).To(BeEmpty())
			for w := begin; w <= end; w++ {
				truth, least := int64(0), int64(0)
				for _, h := range f.all {
					truth += h.counted[w]
					if !h.excused {
						least += h.counted[w]
					}
				}
				got := f.cloud.reports[w].Counts["a"]
				Expect(got).To(BeNumerically("<=", truth), fmt.Sprint("window ", w-begin))
				Expect(got).To(BeNumerically(">=", least), fmt.Sprint("window ", w-begin, " of ", end-begin))
				Expect(f.cloud.after[w]).To(BeNumerically("<", late), fmt.Sprint("window ", w-begin))
			}
		})
	}
})

// missing returns the number of windows without a report.
func (f *fleet) missing(begin, end int64) (n int) {
	for w := begin; w <= end; w++ {
		if _, ok := f.cloud.reports[w]; !ok {
			n++
		}
	}
	return n
}
