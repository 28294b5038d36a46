package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/balsamvale/balsamvale/internal/build"
	"github.com/balsamvale/balsamvale/internal/claims"
	"github.com/balsamvale/balsamvale/internal/core"
	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/internal/duty"
	"github.com/balsamvale/balsamvale/internal/flight"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/internal/meter"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/prior"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// ErrListen is matched by errors about a listening address: it cannot be bound, or its server failed.
var ErrListen = eris.New("cannot listen")

// Daemon is one running entry: its control state, its pools and its HTTP servers.
type Daemon struct {
	// Build describes the program and its process; New sets it to that of the running process.
	Build *build.Build

	options *option.Options
	clock   clock.Clock
	log     *logs.Log
	core    *core.Core
	peers   *peers.Service
	// peerBytes counts the bytes of connections with peers.
	peerBytes *meter.Meter
	// duty carries out the duties of the entry; nil if it has none.
	duty           *duty.Runner
	metrics        *metrics.Set
	seams          *seams.Seams
	inFlight       *flight.Table
	callerServer   *http.Server
	callerListener *demux.Listener
	// onServerAnswer records an answer of callerServer to a request that did not reach its handler.
	onServerAnswer func(caller netip.AddrPort, status int, why reason.Reason)
	// refuseHead returns the response to a request whose head exceeds a limit.
	refuseHead  func(limit int) (status int, why reason.Reason, h http.Header)
	peerServer  *http.Server
	adminServer *http.Server
	// stopping is closed when calls that still wait are to be refused.
	stopping chan struct{}
	// memory bounds what connections of callers and their calls take; nil for no limit.
	memory *memory.Budget
	// maxConns is the number of callers' connections from which on idle ones are closed to make room.
	maxConns int
	// pressureAt is when onPressure last made room; only the goroutine that accepts connections uses it.
	pressureAt time.Time
	// upstreams has the connections to upstreams.
	upstreams *sender.Sender
	// stopBegin is when the stop has begun; nil before.
	stopBegin atomic.Pointer[time.Time]
	// errs receives the error of each server that fails; its buffer has room for one error of each server.
	errs chan error
}

// New assembles an entry from its settings; incarnation identifies this start of the process.
//
// It opens no listener and starts no goroutine; Run does.
func New(o *option.Options, c clock.Clock, log *logs.Log, incarnation uint64, s *seams.Seams) *Daemon {
	d := &Daemon{options: o, clock: c, log: log, seams: s, metrics: metrics.NewSet(), inFlight: flight.New(), stopping: make(chan struct{}), errs: make(chan error, serverCount)}
	self := member.Member{Name: o.Name, Domain: o.Domain, Peer: o.Peer, Incarnation: incarnation}
	d.core = core.New(c, log, self, o.Seeds, incarnation, s.Decode)
	d.peerBytes = meter.New(d.metrics)
	transport := prior.New(c, tune.PeerConnIdle)
	transport.Dial = d.peerBytes.Dialer(transport.Dial)
	d.peers = peers.New(c, &http.Client{Transport: transport})
	d.peers.Meter = d.peerBytes
	d.core.CallStore = s.CallStore
	d.core.SendDigest = d.peers.SendDigest
	d.core.RequestCredits = d.peers.RequestCredits
	d.peers.Submit = d.core.Submit
	d.peers.LocalStatus = d.status
	d.Build = build.New()
	d.Build.SettingsMemory = func() int64 { return o.MemoryLimitBytes }
	d.Build.Settings = func() string { return o.Digest(s.Settings()...) }
	d.initCallerServer(incarnation)
	d.initPeerServer()
	d.initAdminServer()
	return d
}

// serverCount is the number of HTTP servers of an entry: one for callers, one for peers, one for admin requests.
const serverCount = 3

// initCallerServer builds the server for callers' requests and registers the metrics of the entry.
func (d *Daemon) initCallerServer(incarnation uint64) {
	o := d.options
	d.maxConns = maxCallerConns(o.MaxFiles, o.MemoryLimitBytes)
	claimClient := claims.New(d.clock, fmt.Sprintf("%s.%d", o.Name, incarnation))
	claimClient.Get, claimClient.CompareAndSwap, claimClient.Entries = d.seams.Get, d.seams.CompareAndSwap, d.core.Entries
	d.upstreams = sender.New(d.clock, d.seams.Headers)
	d.core.Probe = d.upstreams.Probe
	d.memory = memory.New(int64(callMemoryShare * float64(o.MemoryLimitBytes)))
	handler := &proxy.Handler{
		Rule: d.core.Rule, Bounds: d.core.Bounds, Configured: d.core.Configured, Basis: d.core.Basis, Headers: d.seams.Headers,
		Service: d.core.Service, Send: d.upstreams.Send, Probe: d.upstreams.Probe, Claim: claimClient.Claim, CompleteClaim: claimClient.Complete,
		Clock: d.clock, Log: d.log, Poison: d.core.Poison(), InFlight: d.inFlight, Admits: d.admits, Name: o.Name, Incarnation: incarnation, MaxBodyBytes: o.MaxBodyBytes, MaxHeaderBytes: o.MaxHeaderBytes, MaxConfigAge: cmp.Or(o.MaxConfigAge, tune.MaxConfigAge), Memory: d.memory, Stopping: d.stopping,
	}
	handler.Accounts, handler.AccountsAge, handler.MaxKeyAge = d.core.Accounts, d.core.AccountsAge, o.MaxKeyAge
	handler.SetMetrics(d.metrics)
	d.initAccountMetrics()
	d.initDuties(member.Member{Name: o.Name, Domain: o.Domain, Peer: o.Peer, Incarnation: incarnation}, handler)
	d.onServerAnswer, d.refuseHead = handler.RecordServerAnswer, handler.RefuseHead
	d.metrics.NewGauge("balsamvale_store_reads_total", func() float64 { return float64(d.seams.StoreReads()) })
	d.metrics.NewGauge("balsamvale_store_writes_total", func() float64 { return float64(d.seams.StoreWrites()) })
	d.metrics.NewGauge("balsamvale_configuration_age_seconds", func() float64 {
		age, ok := d.core.ConfigAge()
		if !ok {
			return -1 // no configuration yet
		}
		return age.Seconds()
	})
	d.metrics.NewGauge("balsamvale_peer_ages_refused_total", func() float64 { return float64(d.peers.InvalidAges.Load()) })
	d.metrics.NewGauge("balsamvale_configuration_revision", func() float64 { return float64(d.core.Revision().Number()) })
	d.metrics.NewGauge("balsamvale_records_not_in_force", func() float64 { return float64(d.core.NotInForce()) })
	d.metrics.NewGauge("balsamvale_store_era", func() float64 { return float64(d.core.Revision().Era()) })
	d.metrics.NewGauge("balsamvale_caller_connections_limit", func() float64 { return float64(d.maxConns) })
	d.metrics.NewGauge("balsamvale_call_memory_bytes", func() float64 { return float64(d.memory.Held()) })
	d.metrics.NewGauge("balsamvale_call_memory_limit_bytes", func() float64 { return float64(d.memory.Limit()) })
	d.metrics.NewGauge("balsamvale_calls_in_flight", func() float64 { return float64(d.inFlight.Len()) })
	d.metrics.NewGauge(`balsamvale_calls_since_stop{opened="before"}`, func() float64 { onOld, _ := d.inFlight.SinceStop(); return float64(onOld) })
	d.metrics.NewGauge(`balsamvale_calls_since_stop{opened="after"}`, func() float64 { _, onNew := d.inFlight.SinceStop(); return float64(onNew) })
	d.metrics.NewGauge("balsamvale_log_lines_dropped_total", func() float64 { return float64(d.log.Dropped()) })
	d.metrics.NewGauge("balsamvale_news_dropped_total", func() float64 { return float64(d.core.DroppedEvents.Load()) })
	d.callerServer = &http.Server{Handler: handler, ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: tune.CallerIdleTimeout, MaxHeaderBytes: tune.ServerHeadBytes, Protocols: protocols()}
}

// protocols returns the protocols that callers and peers may use: HTTP/1 and HTTP/2 without TLS.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

const (
	// peerReadTimeout bounds the time in which a peer sends a request.
	peerReadTimeout = tune.TransferTimeout
	// peerIdleTimeout is longer than net/http keeps an idle connection as a client, so that no request meets a closing one.
	peerIdleTimeout = 2 * time.Minute
	// peerStreamBuffer and peerConnBuffer bound the bytes of requests that a peer has on their way, so that a small one is not late
	// behind a large one on a slow link.
	peerStreamBuffer = 256 << 10
	peerConnBuffer   = 512 << 10
)

// initPeerServer builds the server for gossip, credit and status requests of other entries.
func (d *Daemon) initPeerServer() {
	mux := http.NewServeMux()
	mux.Handle(d.peers.Handler())
	d.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: d.options.ReadHeaderTimeout, ReadTimeout: peerReadTimeout, IdleTimeout: peerIdleTimeout, ConnContext: d.peerBytes.ConnContext,
		Protocols: protocols(), HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: peerStreamBuffer, MaxReceiveBufferPerConnection: peerConnBuffer}}
}

// initAdminServer builds the server for metrics, health checks and profiles.
func (d *Daemon) initAdminServer() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.core.VisitLimits(func(service string, limit, waiting, limited int) {
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_admitted_limit{service=%q}", service), nil).Set(float64(limit))
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_waiting_calls{service=%q}", service), nil).Set(float64(waiting))
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_limited_upstreams{service=%q}", service), nil).Set(float64(limited))
		})
		d.core.VisitRoom(func(service string, lost int, margin float64) {
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_lost_calls_total{service=%q}", service), nil).Set(float64(lost))
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_room_margin{service=%q}", service), nil).Set(margin)
		})
		d.metrics.WritePrometheus(w)
		d.writeBuildMetric(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.core.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	d.adminServer = &http.Server{Handler: mux, ReadHeaderTimeout: d.options.ReadHeaderTimeout}
}

// serverRunner serves one listening address; its run method is a goroutine.
type serverRunner struct {
	serve func() error
	errs  chan<- error
}

// run serves until the server is closed; it reports any other end to errs.
func (r *serverRunner) run() {
	if err := r.serve(); !eris.Is(err, http.ErrServerClosed) {
		r.errs <- eris.Wrap(ErrListen, err.Error())
	}
}

// listen binds an address and serves it in the background, through wrap if that is set; errors match ErrListen.
func (d *Daemon) listen(s *http.Server, addr netip.AddrPort, wrap func(net.Listener) net.Listener) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	if wrap != nil {
		ln = wrap(ln)
	}
	go (&serverRunner{func() error { return s.Serve(ln) }, d.errs}).run()
	return nil
}

// listenCallers binds the address of callers and serves it in the background; errors match ErrListen.
//
// The listener is split by package demux, so that pipelined requests of one connection run concurrently.
func (d *Daemon) listenCallers() error {
	ln, err := net.Listen("tcp", d.options.Front.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	d.callerListener = demux.New(ln, d.clock)
	d.callerListener.Bounds, d.callerListener.MaxHeaderBytes, d.callerListener.RefuseHead = d.core.Bounds, d.options.MaxHeaderBytes, d.refuseHead
	d.callerListener.MaxConns = d.maxConns
	d.callerListener.Memory = d.memory
	d.callerListener.OnPressure = d.onPressure
	d.callerListener.OnServerAnswer = d.onServerAnswer
	conns := d.callerListener.Conns
	d.metrics.NewGauge("balsamvale_caller_connections", func() float64 { return float64(conns()) })
	go (&serverRunner{func() error { return d.callerListener.Serve(d.callerServer) }, d.errs}).run()
	return nil
}

// Run serves until stop is done, then shuts down gracefully: it waits for the calls in flight to end, at most for
// the drain timeout if one is set. Errors match ErrListen.
//
// Each value received from hup reloads the settings.
func (d *Daemon) Run(stop context.Context, hup <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.log.Info("starting", append([]zap.Field{zap.String("name", d.options.Name)}, d.buildFields()...)...)
	if err := d.listen(d.adminServer, d.options.Admin, nil); err != nil {
		return err
	}
	if err := d.listen(d.peerServer, d.options.Peer, d.peerBytes.Listener); err != nil {
		return err
	}
	d.core.Start(ctx)
	if d.duty != nil {
		d.duty.Start(ctx)
	}
	if err := d.listenCallers(); err != nil {
		return err
	}
	go (&reloader{daemon: d, hup: hup}).loop(ctx)
	d.log.Info("started", zap.String("name", d.options.Name), zap.Stringer("front", d.options.Front))
	select {
	case <-stop.Done():
	case err := <-d.errs:
		return err
	}
	return d.shutdown()
}

// reloader reloads the settings on a signal and at a fixed interval; its loop method is a goroutine.
type reloader struct {
	daemon *Daemon
	hup    <-chan os.Signal
}

// reloadInterval is the interval at which the settings are reloaded without a signal, since the file may change without
// one.
const reloadInterval = 5 * time.Second

// loop reloads the settings until ctx is done; if that fails, the previous settings stay in force.
func (r *reloader) loop(ctx context.Context) {
	for {
		t, stop := r.daemon.clock.Timer(reloadInterval)
		signaled := false
		select {
		case <-r.hup:
			signaled = true
		case <-t:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		changed, err := r.daemon.seams.Reload()
		switch {
		case err != nil:
			r.daemon.log.Warn("cannot reload the settings; the previous ones stay in force", zap.Error(err))
		case changed || signaled:
			r.daemon.log.Info("settings reloaded", zap.Bool("changed", changed), zap.Bool("signal", signaled), zap.String("settings", r.daemon.Build.Settings()))
		}
	}
}

// maxCutLines bounds the number of log lines for the calls that a stop cuts.
const maxCutLines = 100

const (
	// admissionTime is how long after the shutdown delay all calls are still served.
	admissionTime = 250 * time.Millisecond
	// deliveryTime is left between the deadline of a call that is served late in a stop and the drain timeout.
	deliveryTime = 200 * time.Millisecond
)

// refusalPart is the part of the drain timeout, at its end, in which no attempt begins: calls that still wait are refused. The
// attempts that have begun by then need the time.
const refusalPart = 3

// handoverPoll is the interval at which the shards still owned are checked.
const handoverPoll = 20 * time.Millisecond

// status returns the state of the entry for status requests to the peer service; errors match core.ErrStopped.
func (d *Daemon) status(ctx context.Context) (*pb.StatusResponse, error) {
	s, err := d.core.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &pb.StatusResponse{
		Name: s.Name, Domain: s.Domain, Revision: s.Revision.Number(), Era: s.Revision.Era(), Ready: s.Ready,
		Store: s.StoreReachable, Members: uint32(s.Members), Duty: s.OwnedShards, Build: d.buildProto(),
	}
	if !s.RevisionSince.IsZero() {
		out.Since = timestamppb.New(s.RevisionSince)
	}
	for _, r := range s.Rejects {
		out.Rejected = append(out.Rejected, &pb.Rejected{Key: r.Key, Revision: r.Revision.Number(), Era: r.Revision.Era(), Reason: r.Err.Error()})
	}
	for _, ro := range s.Rollouts {
		out.Move = append(out.Move, &pb.MoveStatus{Name: ro.Rollout, Phase: ro.Phase.String(), Share: uint32(ro.Permille), Reason: ro.Reason})
	}
	return out, nil
}
