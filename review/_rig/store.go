package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or a tombstone of one in the answer to a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's key-value store. It keeps its whole history and loses nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []item
	// leases holds the end of each lease and its lifetime.
	leases    map[int64]time.Time
	ttls      map[int64]time.Duration
	lastLease int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// cut is closed and replaced to cut the watches that wait.
	cut chan struct{}
	// waiting is the number of watches that wait, and cutNext is set to cut the next one, as none waited.
	waiting int
	cutNext bool
	// cuts counts the watches that were cut.
	cuts int

	listener net.Listener
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		revision: 1, items: map[string]*item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}), cut: make(chan struct{}), listener: ln,
	}
	go func() { _ = http.Serve(ln, s) }()
	go s.expireLoop()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a key as an operator or a backend does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	s.notify()
}

// remove deletes a key as a backend that leaves does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	s.notify()
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	it := &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, *it)
}

func (s *store) delete(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches breaks off the answers of the watches that wait, or that of the next one if none waits.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == 0 {
		s.cutNext = true
		return
	}
	close(s.cut)
	s.cut = make(chan struct{})
}

// expireLoop removes the keys of leases that have ended.
func (s *store) expireLoop() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		gone := false
		for id, end := range s.leases {
			if time.Now().Before(end) {
				continue
			}
			delete(s.leases, id)
			gone = s.dropLease(id) || gone
		}
		if gone {
			s.notify()
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) bool {
	gone := false
	for k, it := range s.items {
		if it.Lease == id {
			s.delete(k)
			gone = true
		}
	}
	return gone
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, rev := s.items[q.Get("key")], s.revision
		s.mu.Unlock()
		if it == nil {
			reply(w, http.StatusNotFound, map[string]any{"store_revision": rev})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "store_revision": rev})
	case r.URL.Path == "/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease", strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.lease(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	const page = 500
	items := []item{}
	for _, k := range keys[:min(page, len(keys))] {
		items = append(items, *s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": len(keys) > page, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	begun := false
	finish := func(out any) {
		if !begun {
			w.Header().Set("Content-Type", "application/json")
		}
		_ = json.NewEncoder(w).Encode(out)
	}
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed, cut := s.revision, s.changed, s.cut
		if len(events) == 0 {
			s.waiting++
			if s.cutNext {
				s.cutNext = false
				close(s.cut)
				s.cut = make(chan struct{})
			}
		}
		s.mu.Unlock()
		out := map[string]any{"events": events, "store_revision": rev}
		if len(events) > 0 {
			finish(out)
			return
		}
		if !begun {
			// The head goes out at once, the body with the first event or at the end of the wait.
			begun = true
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		ended := false
		select {
		case <-changed:
		case <-cut:
			s.countCut()
			panic(http.ErrAbortHandler)
		case <-timeout.C:
			finish(out)
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if ended {
			return
		}
	}
}

func (s *store) countCut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.cuts++
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []item{}
	for _, e := range txn.Expected {
		cur := item{Key: e.Key}
		if it := s.items[e.Key]; it != nil {
			cur = *it
		}
		if cur.Revision != e.Revision {
			failed = append(failed, cur)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, p := range txn.Writes {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range txn.Writes {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range txn.Deletes {
		s.delete(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/kv-lease" {
		var in struct {
			TTL float64 `json:"ttl_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL < 1000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.lastLease++
		ttl := min(time.Duration(in.TTL)*time.Millisecond, 10*time.Minute)
		s.leases[s.lastLease], s.ttls[s.lastLease] = time.Now().Add(ttl), ttl
		reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
		return
	}
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodDelete {
		delete(s.leases, id)
		s.dropLease(id)
		s.notify()
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": s.ttls[id].Milliseconds()})
}
