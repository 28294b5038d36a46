package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/balsamvale/balsamvale/internal/claims"
	"github.com/balsamvale/balsamvale/internal/core"
	"github.com/balsamvale/balsamvale/internal/demux"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// ErrListen is what the errors match about an address that cannot be listened on.
var ErrListen = eris.New("cannot listen")

// Daemon is one entry.
type Daemon struct {
	options        *option.Options
	clock          clock.Clock
	log            *logs.Log
	core           *core.Core
	peers          *peers.Service
	metrics        *metrics.Set
	seams          *seams.Seams
	callerServer   *http.Server
	callerListener *demux.Listener
	peerServer     *http.Server
	adminServer    *http.Server
	errs           chan error
}

// New wires an entry; boot identifies this start of it.
func New(o *option.Options, c clock.Clock, log *logs.Log, boot uint64, s *seams.Seams) *Daemon {
	d := &Daemon{options: o, clock: c, log: log, seams: s, metrics: metrics.NewSet(), errs: make(chan error, serverCount)}
	me := member.Member{Name: o.Name, Domain: o.Domain, Peer: o.Peer, Incarnation: boot}
	d.core = core.New(c, log, me, o.Seeds, boot, s.Decode)
	d.peers = peers.New(c, &http.Client{})
	d.core.CallStore = s.CallStore
	d.core.SendDigest = d.peers.SendDigest
	d.core.RequestCredits = d.peers.RequestCredits
	d.peers.Submit = d.core.Submit
	d.peers.LocalStatus = d.status
	d.initCallerServer(boot)
	d.initPeerServer()
	d.initAdminServer()
	return d
}

// serverCount is the number of listeners of an entry.
const serverCount = 3

// initCallerServer builds the server that callers reach.
func (d *Daemon) initCallerServer(boot uint64) {
	o := d.options
	k := claims.New(d.clock, fmt.Sprintf("%s.%d", o.Name, boot))
	k.Get, k.CompareAndSwap, k.Entries = d.seams.Get, d.seams.CompareAndSwap, d.core.Entries
	b := sender.New(d.clock, d.seams.Headers)
	d.core.Probe = b.Probe
	f := &proxy.Handler{
		Rule: d.core.Rule, Bounds: d.core.Bounds, Configured: d.core.Configured, Headers: d.seams.Headers,
		Service: d.core.Service, Send: b.Send, Probe: b.Probe, Claim: k.Claim, CompleteClaim: k.Complete,
		Clock: d.clock, Log: d.log, Poison: d.core.Poison(), Name: o.Name, Incarnation: boot, MaxBodyBytes: o.MaxBodyBytes,
	}
	f.SetMetrics(d.metrics)
	d.metrics.NewGauge("balsamvale_store_reads_total", func() float64 { return float64(d.seams.StoreReads()) })
	d.metrics.NewGauge("balsamvale_store_writes_total", func() float64 { return float64(d.seams.StoreWrites()) })
	d.metrics.NewGauge("balsamvale_configuration_age_seconds", func() float64 {
		age, ok := d.core.ConfigAge()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	d.metrics.NewGauge("balsamvale_configuration_revision", func() float64 { return float64(d.core.Revision()) })
	d.metrics.NewGauge("balsamvale_log_lines_dropped_total", func() float64 { return float64(d.log.Dropped()) })
	d.metrics.NewGauge("balsamvale_news_dropped_total", func() float64 { return float64(d.core.DroppedEvents.Load()) })
	d.callerServer = &http.Server{Handler: f, ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: tune.CallerIdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes, Protocols: protocols()}
}

func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (d *Daemon) initPeerServer() {
	mux := http.NewServeMux()
	mux.Handle(d.peers.Handler())
	d.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: d.options.ReadHeaderTimeout}
}

func (d *Daemon) initAdminServer() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.core.VisitLimits(func(service string, limit, waiting int) {
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_admitted_limit{service=%q}", service), nil).Set(float64(limit))
			d.metrics.GetOrCreateGauge(fmt.Sprintf("balsamvale_waiting_calls{service=%q}", service), nil).Set(float64(waiting))
		})
		d.metrics.WritePrometheus(w)
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

// serverRunner serves one address; its run method is a goroutine.
type serverRunner struct {
	serve func() error
	errs  chan<- error
}

func (l *serverRunner) run() {
	if err := l.serve(); !eris.Is(err, http.ErrServerClosed) {
		l.errs <- eris.Wrap(ErrListen, err.Error())
	}
}

func (d *Daemon) listen(s *http.Server, addr netip.AddrPort) error {
	on, err := net.Listen("tcp", addr.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	go (&serverRunner{func() error { return s.Serve(on) }, d.errs}).run()
	return nil
}

// listenCallers serves callers, whose pipelined requests run side by side.
func (d *Daemon) listenCallers() error {
	on, err := net.Listen("tcp", d.options.Front.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	d.callerListener = demux.New(on, d.clock)
	d.callerListener.Bounds = d.core.Bounds
	go (&serverRunner{func() error { return d.callerListener.Serve(d.callerServer) }, d.errs}).run()
	return nil
}

// Run serves until stop is done, and then until the calls in flight have ended; errors match ErrListen.
//
// Each value on hup reads the settings again.
func (d *Daemon) Run(stop context.Context, hup <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.listen(d.adminServer, d.options.Admin); err != nil {
		return err
	}
	if err := d.listen(d.peerServer, d.options.Peer); err != nil {
		return err
	}
	d.core.Start(ctx)
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

// reloader follows the settings file; its loop method is a goroutine.
type reloader struct {
	daemon *Daemon
	hup    <-chan os.Signal
}

// reloadInterval is the interval at which the settings are read without a signal, since the file may change without one.
const reloadInterval = 5 * time.Second

func (r *reloader) loop(ctx context.Context) {
	for {
		t, stop := r.daemon.clock.Timer(reloadInterval)
		asked := false
		select {
		case <-r.hup:
			asked = true
		case <-t:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		changed, err := r.daemon.seams.Reload()
		switch {
		case err != nil:
			r.daemon.log.Warn("settings not reloaded, the old ones stay in force", zap.Error(err))
		case changed || asked:
			r.daemon.log.Info("settings reloaded", zap.Bool("changed", changed), zap.Bool("signal", asked))
		}
	}
}

// shutdown tells that the entry leaves, serves on while the balancer notices, and finishes all calls.
func (d *Daemon) shutdown() error {
	d.log.Info("stopping")
	d.core.Drain()
	d.callerListener.Drain()
	lag, cancel := d.clock.Timer(d.options.ShutdownDelay)
	defer cancel()
	<-lag
	ctx := context.Background()
	if d.options.DrainTimeout > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, d.options.DrainTimeout)
		defer end()
	}
	err := d.callerServer.Shutdown(ctx)
	if err != nil {
		d.log.Warn("calls were cut by the limit in stop.wait", zap.Error(err))
	}
	d.awaitHandover()
	_ = d.peerServer.Close()
	_ = d.adminServer.Close()
	d.log.Info("stopped")
	return nil
}

// awaitHandover waits until other entries have been left the duties, for a bounded time.
func (d *Daemon) awaitHandover() {
	until := d.clock.Now().Add(handoverTimeout)
	for d.clock.Now().Before(until) {
		s, err := d.core.Status(context.Background())
		if err != nil || len(s.OwnedShards) == 0 || s.Members < 2 {
			return
		}
		t, stop := d.clock.Timer(handoverPoll)
		<-t
		stop()
	}
}

const (
	// handoverTimeout bounds the wait for duties to be given up.
	handoverTimeout = 3 * time.Second
	handoverPoll    = 20 * time.Millisecond
)

// status describes what is in force, for the peer service.
func (d *Daemon) status(ctx context.Context) (*pb.StatusResponse, error) {
	s, err := d.core.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &pb.StatusResponse{
		Name: s.Name, Domain: s.Domain, Revision: s.Revision, Ready: s.Ready,
		Store: s.StoreReachable, Members: uint32(s.Members), Duty: s.OwnedShards,
	}
	if !s.RevisionSince.IsZero() {
		out.Since = timestamppb.New(s.RevisionSince)
	}
	for _, r := range s.Rejects {
		out.Rejected = append(out.Rejected, &pb.Rejected{Key: r.Key, Revision: r.Revision, Reason: r.Err.Error()})
	}
	for _, m := range s.Rollouts {
		out.Move = append(out.Move, &pb.MoveStatus{Name: m.Rollout, Phase: m.Phase.String(), Share: uint32(m.Permille), Reason: m.Reason})
	}
	return out, nil
}
