package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Habit -linecomment

// Habit is how a caller uses connections.
type Habit int

// Values of Habit.
const (
	// Fresh opens a connection for each request and does not wait for one response before the next request.
	Fresh Habit = iota // fresh
	// Kept uses a connection until it ends.
	Kept // kept
	// Pipelined sends requests on one connection without waiting for responses.
	Pipelined // pipelined
	// Slow reads large answers slowly.
	Slow // slow
	// Multiplexed keeps an HTTP/2 connection.
	Multiplexed // http2
	// Repeating sends a call again at once after a refusal or a lost answer, and sometimes after an answer.
	Repeating // repeating
	habitCount
)

// Target is the process that a new connection goes to.
type Target struct {
	Entry string
	Addr  netip.AddrPort
}

// Service is a service that can be called.
type Service struct {
	Name string
	Kind trail.Kind
}

// Crowd is the set of all callers.
type Crowd struct {
	Clock clock.Clock
	Trail *trail.Trail
	// Pick chooses the target of a new connection, as a balancer in front of the entries does; ok is false if there is none.
	Pick func() (t Target, ok bool)
	// Services are the services to call.
	Services []Service
	// Timeout is the timeout of the services that have one.
	Timeout time.Duration
	// Scale multiplies the number of callers.
	Scale int
	// SharedKeys makes callers choose the idempotency keys that others use for other calls.
	SharedKeys atomic.Bool

	wg       sync.WaitGroup
	lastCall atomic.Int64
	// added are the services that were added; nil before the first.
	added atomic.Pointer[[]Service]
}

// addedShare is the share of the idempotent calls that go to added services, once there are some.
const addedShare = 0.3

// AddServices adds idempotent services that are called from now on.
func (c *Crowd) AddServices(services []Service) {
	var all []Service
	if old := c.added.Load(); old != nil {
		all = append(all, *old...)
	}
	all = append(all, services...)
	c.added.Store(&all)
}

// caller is one caller; its loop method is a goroutine.
type caller struct {
	crowd   *Crowd
	ctx     context.Context
	habit   Habit
	service Service
	// gap is the mean time between two requests, or between a response and the next request.
	gap  time.Duration
	name string

	// mu guards rand.
	mu   sync.Mutex
	rand *rand.Rand
}

// mix lists the callers for a Scale of 1.
var mix = []struct {
	habit Habit
	kind  trail.Kind
	count int
	gap   time.Duration
}{
	{Fresh, trail.Idempotent, 2, 50 * time.Millisecond},
	{Fresh, trail.Once, 3, 45 * time.Millisecond},
	{Fresh, trail.Upload, 1, 400 * time.Millisecond},
	{Kept, trail.Idempotent, 3, 60 * time.Millisecond},
	{Kept, trail.Once, 4, 60 * time.Millisecond},
	{Kept, trail.Upload, 2, 200 * time.Millisecond},
	{Pipelined, trail.Idempotent, 2, 20 * time.Millisecond},
	{Pipelined, trail.Idempotent, 2, 30 * time.Millisecond},
	{Pipelined, trail.Idempotent, 2, 120 * time.Millisecond},
	{Slow, trail.Idempotent, 2, 100 * time.Millisecond},
	{Multiplexed, trail.Idempotent, 2, 50 * time.Millisecond},
	{Repeating, trail.Once, 3, 100 * time.Millisecond},
}

// Start starts the callers; they end with ctx, and Wait waits for them.
func (c *Crowd) Start(ctx context.Context, seed uint64) {
	byKind := map[trail.Kind][]Service{}
	for _, s := range c.Services {
		byKind[s.Kind] = append(byKind[s.Kind], s)
	}
	n := 0
	for _, m := range mix {
		for i := range m.count * c.Scale {
			n++
			services := byKind[m.kind]
			k := &caller{crowd: c, ctx: ctx, habit: m.habit, service: services[i%len(services)], gap: m.gap, name: fmt.Sprintf("caller-%d", n), rand: rand.New(rand.NewPCG(seed, uint64(n)))}
			c.wg.Add(1)
			go k.loop()
		}
	}
}

// Wait waits until all callers have ended.
func (c *Crowd) Wait() { c.wg.Wait() }

func (c *caller) loop() {
	defer c.crowd.wg.Done()
	switch c.habit {
	case Fresh:
		c.loopFresh()
	case Pipelined:
		c.loopPipelined()
	case Multiplexed:
		c.loopMultiplexed()
	case Repeating:
		c.loopRepeating()
	default:
		c.loopKept()
	}
}

// pause waits for about the caller's gap.
func (c *caller) pause() {
	t, stop := c.crowd.Clock.Timer(time.Duration((0.5 + c.float()) * float64(c.gap)))
	defer stop()
	select {
	case <-t:
	case <-c.ctx.Done():
	}
}

func (c *caller) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64()
}

func (c *caller) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// loopFresh sends each request on a connection of its own.
func (c *caller) loopFresh() {
	for c.ctx.Err() == nil {
		c.crowd.wg.Add(1)
		go (&single{c, c.newCall()}).run()
		c.pause()
	}
}

// single is one request on a connection of its own; its run method is a goroutine.
type single struct {
	caller *caller
	call   *call
}

func (s *single) run() {
	defer s.caller.crowd.wg.Done()
	conn := s.caller.open()
	if conn == nil {
		return
	}
	defer conn.close()
	conn.exchange(s.call)
}

// loopKept sends one request after the other on a connection, and opens a new one when that has ended.
func (c *caller) loopKept() {
	var conn *connection
	for c.ctx.Err() == nil {
		if conn == nil {
			conn = c.open()
		}
		if conn != nil && !conn.exchange(c.newCall()) {
			conn.close()
			conn = nil
		}
		c.pause()
	}
	if conn != nil {
		conn.close()
	}
}

// Repeats of one call.
const (
	maxRepeats = 4
	// uselessRepeats is the share of the answered calls that are sent again.
	uselessRepeats = 0.2
)

// loopRepeating sends a call again at once, on a kept connection, as long as it has no answer.
func (c *caller) loopRepeating() {
	var conn *connection
	for c.ctx.Err() == nil {
		k := c.newCall()
		for range maxRepeats {
			if conn == nil {
				conn = c.open()
			}
			if conn == nil {
				break
			}
			if !conn.exchange(k) {
				conn.close()
				conn = nil
			}
			if k.request.Status == 200 && c.float() >= uselessRepeats {
				break
			}
			k = k.again(c)
		}
		c.pause()
	}
	if conn != nil {
		conn.close()
	}
}
