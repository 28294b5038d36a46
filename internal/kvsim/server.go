package kvsim

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/balsamvale/balsamvale/internal/eras"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// errDown is the error of calls while the store is down, and of calls whose reply is lost.
var errDown = eris.New("store unavailable")

// errLimit is the error of calls above the limit of calls per second.
var errLimit = eris.New("too many store calls in this second")

// Limits of the store.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	// maxHistory is the number of changes kept for watches; above it, the older half is dropped.
	maxHistory = 100_000
)

// Server is an in-memory store with faults on demand; it is safe for concurrent use.
//
// It implements the Store service of the schema.
type Server struct {
	// Rewrite returns the value to store for one that Swap is to write; it may be nil.
	Rewrite func(key string, value []byte) []byte
	// Written is called for each change, in their order, before any call returns it; it may be nil.
	Written func(era int64, it *pb.Item)

	clock clock.Clock

	// mu guards all fields below.
	mu       sync.Mutex
	rand     *rand.Rand
	revision int64
	// era rises with each Restore.
	era int64
	// restoredRevision is the revision of the copy that was restored last; no history before it is kept.
	restoredRevision int64
	// written is the last write of each key, removals included, whatever was restored since.
	written map[string]*pb.Item
	items   map[string]*pb.Item
	// leaseByKey maps each key written under a lease to that lease's ID.
	leaseByKey map[string]int64
	// leases maps each lease's ID to the time at which it expires.
	leases map[int64]time.Time
	// lapsed is the set of leases of a restored copy, which cannot be renewed or written under.
	lapsed map[int64]bool
	// history lists the last changes by revision, removed keys included.
	history []*pb.Item
	// lastLeaseID is the ID of the lease granted last.
	lastLeaseID int64
	// changed is closed and replaced at each change, and when the store goes down or comes back.
	changed chan struct{}
	// down, muted, delay and replyLoss are the faults in effect.
	down      bool
	muted     bool
	delay     time.Duration
	replyLoss float64
	writes    callCounter
	reads     callCounter
}

// callCounter counts calls, in total and in the current second.
type callCounter struct {
	// second is the second that count refers to, in Unix time.
	second int64
	count  int
	total  int
}

// New returns an empty store without faults; seed determines which replies are lost under SetReplyLoss.
func New(c clock.Clock, seed uint64) *Server {
	return &Server{
		clock:      c,
		rand:       rand.New(rand.NewPCG(seed, seed)),
		items:      map[string]*pb.Item{},
		written:    map[string]*pb.Item{},
		leaseByKey: map[string]int64{},
		leases:     map[int64]time.Time{},
		changed:    make(chan struct{}),
	}
}

// SetDown makes all calls fail while down is true, waiting watches included.
func (s *Server) SetDown(down bool) {
	s.withLock(func() {
		s.down = down
		s.notifyWatchers()
	})
}

// SetMuted keeps all watches from a response while muted is true, waiting ones included.
func (s *Server) SetMuted(muted bool) {
	s.withLock(func() {
		s.muted = muted
		s.notifyWatchers()
	})
}

// Load writes some keys at once, whatever their revisions and the limit of calls.
func (s *Server) Load(values map[string][]byte) {
	s.withLock(func() {
		for _, key := range slices.Sorted(maps.Keys(values)) {
			s.write(&pb.Item{Key: key, Value: values[key]}, 0)
		}
	})
}

// Copy returns a copy of the store, for Restore.
func (s *Server) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, items: maps.Clone(s.items), leaseByKey: maps.Clone(s.leaseByKey), lastLeaseID: s.lastLeaseID}
}

// Restore replaces the state of the store by that of an older copy and begins a new era, in which revisions and lease IDs that were
// given out since the copy are given out again. The leases of the copy cannot be renewed, and their keys are removed after leaseLeft.
func (s *Server) Restore(c *Copy, leaseLeft time.Duration) {
	s.withLock(func() {
		s.era++
		s.revision, s.restoredRevision, s.lastLeaseID = c.revision, c.revision, c.lastLeaseID
		s.items, s.leaseByKey = maps.Clone(c.items), map[string]int64{}
		s.history, s.leases = nil, map[int64]time.Time{}
		s.lapsed = map[int64]bool{}
		for key, id := range c.leaseByKey {
			s.leaseByKey[key], s.lapsed[id] = id, true
			s.leases[id] = s.clock.Now().Add(leaseLeft)
		}
		s.notifyWatchers()
	})
}

// WriteAgain writes again what the store has lost under a prefix, removals included, as its writers would.
func (s *Server) WriteAgain(prefix string) {
	s.withLock(func() {
		for _, key := range slices.Sorted(maps.Keys(s.written)) {
			last, held := s.written[key], s.items[key]
			if strings.HasPrefix(key, prefix) && last != held && (held != nil || !last.GetGone()) {
				s.write(&pb.Item{Key: key, Value: last.GetValue(), Gone: last.GetGone()}, 0)
			}
		}
	})
}

// Era returns the number of times that the store was restored.
func (s *Server) Era() (era int64) {
	s.withLock(func() { era = s.era })
	return era
}

// SetDelay delays each call by d.
func (s *Server) SetDelay(d time.Duration) { s.withLock(func() { s.delay = d }) }

// SetReplyLoss makes a share of the writes, from 0 to 1, fail after they took effect, as if the reply were lost.
func (s *Server) SetReplyLoss(share float64) { s.withLock(func() { s.replyLoss = share }) }

// ExpireLeases makes all leases expire; their keys are removed at the next call.
func (s *Server) ExpireLeases() {
	s.withLock(func() {
		for id := range s.leases {
			s.leases[id] = time.Time{}
		}
	})
}

// ForgetHistory drops the changes kept for watches, so that those that are behind have to list again.
func (s *Server) ForgetHistory() {
	s.withLock(func() {
		// The last change stays, because the revision before it tells which watches are behind.
		s.history = s.history[max(0, len(s.history)-1):]
		s.notifyWatchers()
	})
}

// Calls returns the number of reads and writes so far, failed ones included.
func (s *Server) Calls() (reads, writes int) {
	s.withLock(func() { reads, writes = s.reads.total, s.writes.total })
	return reads, writes
}

// withLock calls f with the lock held.
func (s *Server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// beginCall counts a call, removes the keys of expired leases, and applies the delay, the outage and the limit of calls
// per second.
func (s *Server) beginCall(counter *callCounter, limit int) error {
	s.mu.Lock()
	now := s.clock.Now()
	counter.total++
	if now.Unix() != counter.second {
		counter.second, counter.count = now.Unix(), 0
	}
	counter.count++
	overLimit, down, delay := counter.count > limit, s.down, s.delay
	s.expire(now)
	s.mu.Unlock()
	if delay > 0 {
		t, stop := s.clock.Timer(delay)
		defer stop()
		<-t
	}
	if down {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	if overLimit {
		return connect.NewError(connect.CodeResourceExhausted, errLimit)
	}
	return nil
}

// maybeDropReply returns an error for the share of replies that is to be lost.
func (s *Server) maybeDropReply() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replyLoss > 0 && s.rand.Float64() < s.replyLoss {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	return nil
}

// expire removes the leases that have expired, and their keys; the caller must hold the lock.
func (s *Server) expire(now time.Time) {
	for id, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, id)
		for key, lease := range s.leaseByKey {
			if lease == id {
				s.write(&pb.Item{Key: key, Gone: true}, 0)
			}
		}
	}
}

// write stores an item at the next revision, or removes its key; the caller must hold the lock.
//
// A lease of 0 means that the key does not expire.
func (s *Server) write(it *pb.Item, lease int64) {
	s.revision++
	it.Revision = s.revision
	if it.GetGone() {
		delete(s.items, it.GetKey())
	} else {
		s.items[it.GetKey()] = it
	}
	s.written[it.GetKey()] = it
	delete(s.leaseByKey, it.GetKey())
	if lease != 0 {
		s.leaseByKey[it.GetKey()] = lease
	}
	if s.Written != nil {
		s.Written(s.era, it)
	}
	s.history = append(s.history, it)
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.notifyWatchers()
}

// notifyWatchers wakes all waiting watches; the caller must hold the lock.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply returns a response that names the era in which the store decided it.
func reply[T any](era int64, msg *T) *connect.Response[T] {
	res := connect.NewResponse(msg)
	res.Header().Set(eras.Header, strconv.FormatInt(era, 10))
	return res
}

// Get reads one key; the item is nil if the key does not exist.
func (s *Server) Get(_ context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply(s.era, &pb.GetResponse{Item: s.items[req.Msg.GetKey()], Revision: s.revision}), nil
}

// Swap writes or removes a key if its revision is the expected one and the lease, if any, has not expired.
func (s *Server) Swap(_ context.Context, req *connect.Request[pb.SwapRequest]) (*connect.Response[pb.SwapResponse], error) {
	if err := s.beginCall(&s.writes, writesPerSecond); err != nil {
		return nil, err
	}
	res, era := s.compareAndSwap(req.Msg)
	if err := s.maybeDropReply(); err != nil {
		return nil, err
	}
	return reply(era, res), nil
}

// compareAndSwap returns the item written, without its value, or the item stored if nothing was written, and the era of the store.
func (s *Server) compareAndSwap(m *pb.SwapRequest) (*pb.SwapResponse, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.items[m.GetKey()]
	if current.GetRevision() != m.GetExpect() {
		return &pb.SwapResponse{Item: current}, s.era
	}
	if m.GetLease() != 0 {
		if _, ok := s.leases[m.GetLease()]; !ok || s.lapsed[m.GetLease()] {
			return &pb.SwapResponse{Item: current}, s.era
		}
	}
	it := &pb.Item{Key: m.GetKey(), Value: m.GetValue(), Gone: m.GetGone()}
	if s.Rewrite != nil && !it.GetGone() {
		it.Value = s.Rewrite(it.GetKey(), it.GetValue())
	}
	s.write(it, m.GetLease())
	// The reply omits the value, since the writer knows it.
	return &pb.SwapResponse{Done: true, Item: &pb.Item{Key: it.GetKey(), Revision: it.GetRevision()}}, s.era
}

// List reads a page of the items under a prefix, in the order of their keys.
func (s *Server) List(_ context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &pb.ListResponse{Revision: s.revision}
	var found []string
	for k := range s.items {
		if strings.HasPrefix(k, req.Msg.GetPrefix()) && k > req.Msg.GetAfter() {
			found = append(found, k)
		}
	}
	slices.Sort(found)
	if limit := int(req.Msg.GetLimit()); limit > 0 && len(found) > limit {
		found, res.More = found[:limit], true
	}
	for _, k := range found {
		res.Item = append(res.Item, s.items[k])
	}
	return reply(s.era, res), nil
}

// Watch returns the changes under some prefixes after a revision. It waits for the first one for at most the wait of the
// request, then returns none.
func (s *Server) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	if err := s.beginCall(&s.reads, readsPerSecond); err != nil {
		return nil, err
	}
	timeout, stop := s.clock.Timer(req.Msg.GetWait().AsDuration())
	defer stop()
	for {
		res, era, changed, muted := s.changes(req.Msg)
		if !muted && (len(res.GetItem()) > 0 || res.GetLost()) {
			return reply(era, res), nil
		}
		expired := timeout
		if muted {
			expired = nil
		}
		select {
		case <-changed:
		case <-expired:
			return reply(era, res), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		if s.isDown() {
			return nil, connect.NewError(connect.CodeUnavailable, errDown)
		}
	}
}

// isDown reports whether the store is down.
func (s *Server) isDown() (down bool) {
	s.withLock(func() { down = s.down })
	return down
}

// changes returns the changes that a watch request asks for, the era of the store, a channel that is closed at the next change, and
// whether watches are muted.
//
// The response has Lost set if the history no longer reaches back to the revision of the request.
func (s *Server) changes(m *pb.WatchRequest) (res *pb.WatchResponse, era int64, changed <-chan struct{}, muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res = &pb.WatchResponse{Revision: s.revision}
	if m.GetAfter() > s.revision || m.GetAfter() < s.restoredRevision || len(s.history) > 0 && m.GetAfter() < s.history[0].GetRevision()-1 {
		res.Lost = true
		return res, s.era, s.changed, s.muted
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
	return res, s.era, s.changed, s.muted
}

// Lease grants a lease if the ID is 0, and renews the lease with that ID otherwise.
func (s *Server) Lease(_ context.Context, req *connect.Request[pb.LeaseRequest]) (*connect.Response[pb.LeaseResponse], error) {
	if err := s.beginCall(&s.writes, writesPerSecond); err != nil {
		return nil, err
	}
	id, era, ok := s.renew(req.Msg.GetId(), req.Msg.GetTtl().AsDuration())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("lease %d has expired", req.Msg.GetId()))
	}
	if err := s.maybeDropReply(); err != nil {
		return nil, err
	}
	return reply(era, &pb.LeaseResponse{Id: id, Ttl: durationpb.New(req.Msg.GetTtl().AsDuration())}), nil
}

// renew grants or renews a lease and returns its ID and the era of the store; it reports false if the lease to renew
// has expired.
func (s *Server) renew(id int64, ttl time.Duration) (lease, era int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		s.lastLeaseID++
		id = s.lastLeaseID
	} else if _, ok := s.leases[id]; !ok || s.lapsed[id] {
		return 0, s.era, false
	}
	s.leases[id] = s.clock.Now().Add(ttl)
	return id, s.era, true
}
