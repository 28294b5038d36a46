package kvsim

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// errDown is what calls fail with while the service is down.
var errDown = eris.New("the service is down")

// errLimit is what calls fail with above the service's rate.
var errLimit = eris.New("too many calls")

// Limits of the service.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	maxHistory      = 100_000
)

// Server is an in-memory store with faults on demand; it is safe for concurrent use.
type Server struct {
	clock clock.Clock

	mu         sync.Mutex
	rand       *rand.Rand
	revision   int64
	items      map[string]*pb.Item
	leaseByKey map[string]int64
	leases     map[int64]time.Time
	history    []*pb.Item
	nextID     int64
	changed    chan struct{}
	down       bool
	delay      time.Duration
	replyLoss  float64
	writes     callCounter
	reads      callCounter
}

// callCounter counts calls in the current second.
type callCounter struct {
	second int64
	count  int
	total  int
}

// New returns an empty store.
func New(c clock.Clock, seed uint64) *Server {
	return &Server{
		clock:      c,
		rand:       rand.New(rand.NewPCG(seed, seed)),
		items:      map[string]*pb.Item{},
		leaseByKey: map[string]int64{},
		leases:     map[int64]time.Time{},
		changed:    make(chan struct{}),
	}
}

// SetDown makes all calls fail, or ends that.
func (s *Server) SetDown(down bool) {
	s.with(func() {
		s.down = down
		s.notifyWatchers()
	})
}

// SetDelay delays all calls.
func (s *Server) SetDelay(d time.Duration) { s.with(func() { s.delay = d }) }

// SetReplyLoss makes a share of the answers get lost after their writes took effect.
func (s *Server) SetReplyLoss(share float64) { s.with(func() { s.replyLoss = share }) }

// ExpireLeases ends all leases at once.
func (s *Server) ExpireLeases() {
	s.with(func() {
		for id := range s.leases {
			s.leases[id] = time.Time{}
		}
	})
}

// Calls returns the number of reads and writes so far.
func (s *Server) Calls() (reads, writes int) {
	s.with(func() { reads, writes = s.reads.total, s.writes.total })
	return reads, writes
}

func (s *Server) with(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// beginCall counts a call, applies the faults, and ends lapsed leases.
func (s *Server) beginCall(m *callCounter, most int) error {
	s.mu.Lock()
	now := s.clock.Now()
	m.total++
	if now.Unix() != m.second {
		m.second, m.count = now.Unix(), 0
	}
	m.count++
	over, down, slow := m.count > most, s.down, s.delay
	s.expire(now)
	s.mu.Unlock()
	if slow > 0 {
		t, stop := s.clock.Timer(slow)
		defer stop()
		<-t
	}
	if down {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	if over {
		return connect.NewError(connect.CodeResourceExhausted, errLimit)
	}
	return nil
}

// maybeDropReply loses an answer now and then.
func (s *Server) maybeDropReply() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replyLoss > 0 && s.rand.Float64() < s.replyLoss {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	return nil
}

// expire removes the keys of leases that have lapsed; the lock is held.
func (s *Server) expire(now time.Time) {
	for id, until := range s.leases {
		if now.Before(until) {
			continue
		}
		delete(s.leases, id)
		for key, owner := range s.leaseByKey {
			if owner == id {
				s.write(&pb.Item{Key: key, Gone: true}, 0)
			}
		}
	}
}

// write puts an item in at the next revision; the lock is held.
func (s *Server) write(it *pb.Item, lease int64) {
	s.revision++
	it.Revision = s.revision
	if it.GetGone() {
		delete(s.items, it.GetKey())
	} else {
		s.items[it.GetKey()] = it
	}
	delete(s.leaseByKey, it.GetKey())
	if lease != 0 {
		s.leaseByKey[it.GetKey()] = lease
	}
	s.history = append(s.history, it)
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.notifyWatchers()
}

// notifyWatchers wakes the watches; the lock is held.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads one key.
func (s *Server) Get(_ context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&pb.GetResponse{Item: s.items[req.Msg.GetKey()], Revision: s.revision}), nil
}

// Swap writes a key if its revision is the expected one.
func (s *Server) Swap(_ context.Context, req *connect.Request[pb.SwapRequest]) (*connect.Response[pb.SwapResponse], error) {
	if err := s.beginCall(&s.writes, writesPerSecond); err != nil {
		return nil, err
	}
	res := s.compareAndSwap(req.Msg)
	if err := s.maybeDropReply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

func (s *Server) compareAndSwap(m *pb.SwapRequest) *pb.SwapResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.items[m.GetKey()]
	if old.GetRevision() != m.GetExpect() {
		return &pb.SwapResponse{Item: old}
	}
	if m.GetLease() != 0 {
		if _, ok := s.leases[m.GetLease()]; !ok {
			return &pb.SwapResponse{Item: old}
		}
	}
	it := &pb.Item{Key: m.GetKey(), Value: m.GetValue(), Gone: m.GetGone()}
	s.write(it, m.GetLease())
	// The writer knows the value.
	return &pb.SwapResponse{Done: true, Item: &pb.Item{Key: it.GetKey(), Revision: it.GetRevision()}}
}

// List reads the keys under a prefix, in order, a page at a time.
func (s *Server) List(_ context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &pb.ListResponse{Revision: s.revision}
	var names []string
	for k := range s.items {
		if strings.HasPrefix(k, req.Msg.GetPrefix()) && k > req.Msg.GetAfter() {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	if limit := int(req.Msg.GetLimit()); limit > 0 && len(names) > limit {
		names, res.More = names[:limit], true
	}
	for _, k := range names {
		res.Item = append(res.Item, s.items[k])
	}
	return connect.NewResponse(res), nil
}

// Watch waits for changes after a revision.
func (s *Server) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	timeout, stop := s.clock.Timer(req.Msg.GetWait().AsDuration())
	defer stop()
	for {
		res, changed := s.changes(req.Msg)
		if len(res.GetItem()) > 0 || res.GetLost() {
			return connect.NewResponse(res), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return connect.NewResponse(res), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		if s.isDown() {
			return nil, connect.NewError(connect.CodeUnavailable, errDown)
		}
	}
}

func (s *Server) isDown() (down bool) {
	s.with(func() { down = s.down })
	return down
}

// changes collects the changes after a revision, and a channel that is closed at the next one.
func (s *Server) changes(m *pb.WatchRequest) (*pb.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &pb.WatchResponse{Revision: s.revision}
	if len(s.history) > 0 && m.GetAfter() < s.history[0].GetRevision()-1 {
		res.Lost = true
		return res, s.changed
	}
	i, _ := slices.BinarySearchFunc(s.history, m.GetAfter()+1, func(it *pb.Item, rev int64) int {
		return int(it.GetRevision() - rev)
	})
	for _, it := range s.history[i:] {
		for _, p := range m.GetPrefix() {
			if strings.HasPrefix(it.GetKey(), p) {
				res.Item = append(res.Item, it)
				break
			}
		}
	}
	return res, s.changed
}

// Lease grants a lease or keeps it alive.
func (s *Server) Lease(_ context.Context, req *connect.Request[pb.LeaseRequest]) (*connect.Response[pb.LeaseResponse], error) {
	if err := s.beginCall(&s.writes, writesPerSecond); err != nil {
		return nil, err
	}
	id, ok := s.renew(req.Msg.GetId(), req.Msg.GetTtl().AsDuration())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("the lease has lapsed"))
	}
	if err := s.maybeDropReply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.LeaseResponse{Id: id, Ttl: durationpb.New(req.Msg.GetTtl().AsDuration())}), nil
}

func (s *Server) renew(id int64, ttl time.Duration) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		s.nextID++
		id = s.nextID
	} else if _, ok := s.leases[id]; !ok {
		return 0, false
	}
	s.leases[id] = s.clock.Now().Add(ttl)
	return id, true
}
