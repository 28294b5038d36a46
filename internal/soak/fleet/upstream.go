package fleet

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/internal/upsim"
)

// upstream is a simulated upstream with its server.
type upstream struct {
	*upsim.Upstream
	fleet   *Fleet
	service caller.Service
	domain  int
	addr    netip.AddrPort
	// relay is nil if the plan has no faults of connections to upstreams.
	relay *relay.Relay

	// mu guards the fields below.
	mu     sync.Mutex
	server *http.Server
	// shares are the shares of the answers that are not sent as they should.
	shares map[upsim.Delivery]float64
}

// startUpstream starts an upstream of a service, which faults may hit.
func (f *Fleet) startUpstream(s caller.Service, name, version string, domain int) (*upstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, err := f.newUpstream(s, name, version, domain)
	if err != nil {
		return nil, err
	}
	if f.uses(plan.SilentUpstream, plan.ResetUpstream, plan.SlowUpstream, plan.OneWayUpstream) {
		if u.relay, err = relay.New(f.Clock, u.addr); err != nil {
			return nil, eris.Wrap(ErrFleet, err.Error())
		}
	}
	f.upstreams = append(f.upstreams, u)
	return u, nil
}

// newUpstream starts an upstream; the caller holds mu.
func (f *Fleet) newUpstream(s caller.Service, name, version string, domain int) (*upstream, error) {
	u := &upstream{fleet: f, service: s, domain: domain, shares: map[upsim.Delivery]float64{}}
	u.Upstream = &upsim.Upstream{
		Name: name, Version: version, Slots: slotsPerUpstream, Backlog: 3 * slotsPerUpstream, MeanRunTime: meanRunTime,
		ColdConcurrency: 2, Warmup: warmup, Clock: f.Clock, Begin: u.begin, Draw: u.draw,
	}
	u.Upstream.Start(f.Plan.Seed + uint64(len(f.upstreams)))
	var err error
	if u.addr, err = f.ports.Next(); err != nil {
		return nil, eris.Wrap(ErrFleet, err.Error())
	}
	if err := u.listen(); err != nil {
		return nil, err
	}
	return u, nil
}

// listen serves the upstream at its address.
func (u *upstream) listen() error {
	ln, err := net.Listen("tcp", u.addr.String())
	if err != nil {
		return eris.Wrap(ErrFleet, err.Error())
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = &http.Server{Handler: u.Upstream, ReadHeaderTimeout: readyTimeout}
	go (&server{u.server, ln}).run()
	return nil
}

// close ends the upstream: its port refuses connections and its open connections break off.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.server.Close()
}

// restart serves the upstream again after close, as a new incarnation.
func (u *upstream) restart() {
	u.Restart()
	for range 20 {
		if u.listen() == nil {
			return
		}
		u.fleet.sleep(pollInterval)
	}
}

// record returns the record of the upstream as TOML.
func (u *upstream) record() string {
	return u.recordFor(u.Name, u.service.Name)
}

// recordFor returns a record of that name that lists the upstream for a service.
func (u *upstream) recordFor(name, service string) string {
	return fmt.Sprintf("[[upstream]]\nschema = 1\nname = %q\nservice = %q\ndomain = %q\naddr = %q\nversion = %q\n",
		name, service, domainName(u.domain), through(u.relay, u.addr), u.Version)
}

// begin records a run.
func (u *upstream) begin(r *http.Request, digest string) func(upsim.End) {
	try, _ := strconv.Atoi(r.Header.Get(caller.TryHeader))
	f := u.fleet
	end := f.Trail.AddRun(&trail.Run{Call: r.URL.Query().Get("call"), Try: try, Digest: digest, Upstream: u.Name, Begin: f.Clock.Now()})
	return func(e upsim.End) {
		ending := trail.Whole
		switch e {
		case upsim.BrokenOff:
			ending = trail.Broken
		case upsim.Left:
			ending = trail.Left
		}
		end(f.Clock.Now(), ending)
	}
}

// draw draws how an answer is sent.
func (u *upstream) draw() upsim.Delivery {
	u.fleet.mu.Lock()
	x := u.fleet.rand.Float64()
	u.fleet.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	for d, share := range u.shares {
		if x < share {
			return d
		}
		x -= share
	}
	return upsim.Sound
}

// spoil sets the share of the answers that are sent in a way.
func (u *upstream) spoil(d upsim.Delivery, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shares[d] = share
}

// drainBound is the time in which a removed upstream still may get calls, evacuationBound that for a drained failure domain.
const (
	drainBound      = 2 * time.Second
	evacuationBound = 5 * time.Second
)
