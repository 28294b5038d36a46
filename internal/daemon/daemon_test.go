package daemon_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/daemon"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/ports"
	"github.com/balsamvale/balsamvale/internal/reqlog"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// address returns the address on which a test server listens.
func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// finder finds the ports of the entries.
var finder ports.Finder

// freeAddr returns a local address with a port that was free a moment ago.
func freeAddr() netip.AddrPort {
	addr, err := finder.Next()
	Expect(err).NotTo(HaveOccurred())
	return addr
}

// daemonRunner runs a daemon, sends its result to done and closes ended; its run method is a goroutine.
type daemonRunner struct {
	daemon *daemon.Daemon
	stop   context.Context
	done   chan error
	ended  chan struct{}
}

func (r *daemonRunner) run() {
	defer close(r.ended)
	r.done <- r.daemon.Run(r.stop, nil)
}

// runDaemon runs a daemon; the first call of stop begins its planned stop.
//
// The test goes on until the daemon has ended. An entry calls its store and its upstreams to its end, and a port that is free
// again may belong to the upstream of another test, also of another package.
func runDaemon(d *daemon.Daemon) (stop func(), done <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &daemonRunner{d, ctx, make(chan error, 1), make(chan struct{})}
	go r.run()
	DeferCleanup(func() {
		cancel()
		Eventually(r.ended, "10s").Should(BeClosed(), "the entry of an ended test")
	})
	return cancel, r.done
}

// probedUpstream answers probes itself and passes calls on, for tests that count calls or hold them. An entry probes an upstream
// once it has been in charge of it for a second.
type probedUpstream struct {
	calls  http.Handler
	probes atomic.Int64
}

func (u *probedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == tune.DefaultLoadPath {
		u.probes.Add(1)
		http.NotFound(w, r)
		return
	}
	u.calls.ServeHTTP(w, r)
}

// startProbed starts a probedUpstream, whose requests are logged.
func startProbed(calls http.HandlerFunc) (*probedUpstream, *httptest.Server) {
	u := &probedUpstream{calls: calls}
	srv := httptest.NewServer(reqlog.New(u, clock.Wall(), GinkgoWriter))
	DeferCleanup(srv.Close)
	return u, srv
}

// slowUpload is a request body of which a part of 10 bytes arrives every 10 ms, and which begins the planned stop midway.
type slowUpload struct {
	// parts is the number of parts still to come.
	parts int
	// partsAfterStop is the value of parts at which stop is called.
	partsAfterStop int
	stop           func()
}

func (u *slowUpload) Read(p []byte) (int, error) {
	if u.parts == 0 {
		return 0, io.EOF
	}
	if u.parts--; u.parts == u.partsAfterStop {
		u.stop()
	}
	time.Sleep(10 * time.Millisecond)
	return copy(p, "0123456789"), nil
}

// startDaemon starts a daemon whose service "s" has the one given upstream, and waits until it is ready. The first call of the
// result begins the planned stop.
func startDaemon(up *httptest.Server, o *option.Options) (stop func(), done <-chan error) {
	return startLoggingDaemon(up, o, io.Discard)
}

// startLoggingDaemon is startDaemon with a log that is written to w.
func startLoggingDaemon(up *httptest.Server, o *option.Options, w io.Writer) (stop func(), done <-chan error) {
	return startSizedDaemon(address(up), 4, 10, o, w)
}

// startSizedDaemon is startLoggingDaemon with an upstream at an address that has the given numbers of slots and connections.
func startSizedDaemon(up netip.AddrPort, slots, conns int, o *option.Options, w io.Writer) (stop func(), done <-chan error) {
	kv := kvsim.New(clock.Wall(), 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(kv))
	kvServer := httptest.NewServer(mux)
	DeferCleanup(kvServer.Close)
	o.Name, o.Domain, o.Front, o.Peer, o.Admin = "e", "zone-1", freeAddr(), freeAddr(), freeAddr()
	o.Store, o.MaxHeaderBytes, o.MaxBodyBytes = []netip.AddrPort{address(kvServer)}, cmp.Or(o.MaxHeaderBytes, 1<<16), 1<<30
	o.ReadHeaderTimeout = cmp.Or(o.ReadHeaderTimeout, time.Second)
	putRecords(o.Store, "[[domain]]\nschema = 1\nname = \"zone-1\"\n[[service]]\nschema = 2\nname = \"s\"\nslots = "+strconv.Itoa(slots)+"\nconns = "+strconv.Itoa(conns)+"\nwarm = \"0s\"\n[[service.route]]\npath = \"/up\"\nclass = \"bulk\"\n[[upstream]]\nschema = 1\nname = \"u\"\nservice = \"s\"\ndomain = \"zone-1\"\nversion = \"v1\"\naddr = \""+up.String()+"\"\n")
	log := logs.New(w, clock.Wall(), zapcore.InfoLevel, 1)
	DeferCleanup(log.Close)
	stop, done = runDaemon(daemon.New(o, clock.Wall(), log, 1, store.New(clock.Wall(), &http.Client{}, o.Store).Seams()))
	ready := func() int {
		// An entry that has ended, for example since another program has taken a port, will never be ready.
		Expect(done).NotTo(Receive(), "the result of the entry before it was ready")
		res, err := http.Get("http://" + o.Admin.String() + "/ready")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}
	Eventually(ready, "10s", "20ms").Should(Equal(http.StatusOK))
	return stop, done
}

var _ = Describe("A planned stop", func() {
	for _, tc := range []struct {
		name  string
		parts int
	}{{"during the shutdown delay", 16}, {"3s after its start, when the listener is closed", 300}} {
		It("answers an upload that ends "+tc.name, func() {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, strings.Repeat("x", int(n)))
			}))
			DeferCleanup(up.Close)
			o := &option.Options{ShutdownDelay: 100 * time.Millisecond}
			stop, done := startDaemon(up, o)
			res, err := http.Post("http://"+o.Front.String()+"/s/up", "x/y", &slowUpload{tc.parts, tc.parts / 2, stop})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			data, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(HaveLen(10 * tc.parts))
			Eventually(done, "10s").Should(Receive(BeNil()))
		})
	}

	// The stop once took its time for the calls and 3 s more for the handover, past the end of the grace period.
	It("ends within its limits while an upstream holds calls, and refuses the calls that still wait", func() {
		var held atomic.Int64
		release := make(chan struct{})
		_, up := startProbed(func(http.ResponseWriter, *http.Request) {
			held.Add(1)
			<-release
		})
		DeferCleanup(func() { close(release) })
		o := &option.Options{ShutdownDelay: 100 * time.Millisecond, DrainTimeout: 600 * time.Millisecond, HandoverTimeout: 100 * time.Millisecond}
		stop, done := startLoggingDaemon(up, o, GinkgoWriter)
		const calls = 30
		outcomes := make(chan string, calls)
		for range calls {
			go (&heldCall{url: "http://" + o.Front.String() + "/s/a", outcomes: outcomes}).run()
		}
		Eventually(held.Load, "2s").Should(BeNumerically(">=", 4))
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		stop()
		Eventually(done, "5s").Should(Receive(BeNil()))
		Expect(time.Since(start)).To(BeNumerically("<", o.ShutdownDelay+o.DrainTimeout+o.HandoverTimeout+100*time.Millisecond))
		for range calls - int(held.Load()) {
			Eventually(outcomes, "1s").Should(Receive(Equal("503 notrun")), "each call that no upstream has is refused")
		}
		Consistently(outcomes, "50ms").ShouldNot(Receive(Equal("503 notrun")))
	})

	It("logs each call that it cuts, and whether it came before the stop", func() {
		arrived := make(chan struct{}, 2)
		release := make(chan struct{})
		_, up := startProbed(func(http.ResponseWriter, *http.Request) {
			arrived <- struct{}{}
			<-release
		})
		DeferCleanup(func() { close(release) })
		o := &option.Options{ShutdownDelay: 300 * time.Millisecond, DrainTimeout: 600 * time.Millisecond, HandoverTimeout: 100 * time.Millisecond}
		log := gbytes.NewBuffer()
		stop, done := startLoggingDaemon(up, o, log)
		outcomes := make(chan string, 2)
		go (&heldCall{url: "http://" + o.Front.String() + "/s/a", outcomes: outcomes}).run()
		Eventually(arrived, "2s").Should(Receive())
		stop()
		Eventually(log, "2s").Should(gbytes.Say(`"msg":"stopping","calls":1`))
		go (&heldCall{url: "http://" + o.Front.String() + "/s/a", outcomes: outcomes}).run()
		Eventually(done, "5s").Should(Receive(BeNil()))
		Eventually(log, "2s").Should(gbytes.Say(`"msg":"stopped","took":"[^"]*","conns":1,"before":0,"after":1`))
		lines := regexp.MustCompile(`"msg":"cut",.*"service":"s".*"arrived":"(-?)[^"]*","opened":"(-?)[^"]*","sent":true,"safe":false`).FindAllSubmatch(log.Contents(), -1)
		Expect(lines).To(HaveLen(2))
		signs := []string{string(lines[0][1]) + string(lines[0][2]), string(lines[1][1]) + string(lines[1][2])}
		Expect(signs).To(ConsistOf("--", ""))
	})
})

// heldCall sends a call that may run once, and its outcome to outcomes; its run method is a goroutine.
type heldCall struct {
	url      string
	outcomes chan<- string
}

func (c *heldCall) run() {
	req, _ := http.NewRequest(http.MethodPost, c.url, strings.NewReader("x"))
	req.Header.Set(wire.Deadline, "30s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.outcomes <- "cut"
		return
	}
	_ = res.Body.Close()
	c.outcomes <- strconv.Itoa(res.StatusCode) + " " + res.Header.Get(wire.Outcome)
}

// putRecords creates the records of a TOML text in the store.
func putRecords(addrs []netip.AddrPort, text string) {
	records, err := codec.ReadRecords("r", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	c := store.New(clock.Wall(), http.DefaultClient, addrs)
	for _, r := range records {
		data, err := proto.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		done, _, err := c.CompareAndSwap(context.Background(), item.Item{Key: keys.Record(r.GetKind(), r.GetName()), Value: data}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
	}
}
