package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's key-value store, which loses nothing.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []*item
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: 1}
	go func() { _ = http.Serve(ln, s) }()
	go s.expireLoop()
	return s, nil
}

// write sets or deletes a key; mu must be held.
func (s *store) write(key string, value []byte, deleted bool, leaseID int64) {
	s.revision++
	it := &item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, Tombstone: deleted}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	if deleted {
		it.Created, it.Lease = 0, 0
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
}

// notify wakes the waiting watches; mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a backend.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, false, 0)
	s.notify()
}

// remove deletes a key if it exists.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.write(key, nil, true, 0)
		s.notify()
	}
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

// expireLoop removes the keys of leases that have ended.
func (s *store) expireLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		now, changed := time.Now(), false
		for id, l := range s.leases {
			if now.Before(l.until) {
				continue
			}
			delete(s.leases, id)
			for key, it := range s.items {
				if it.Lease == id {
					s.write(key, nil, true, 0)
					changed = true
				}
			}
		}
		if changed {
			s.notify()
		}
		s.mu.Unlock()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP serves the calls of the platform's page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it := s.items[q.Get("key")]
		if it == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, it)
	case path == "/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.txn(w, body)
	case path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 1000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		ttl := time.Duration(in.TTL * float64(time.Millisecond))
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.until = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if l := s.leases[id]; l != nil {
			l.until = time.Now()
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is the largest number of items in a page.
const pageItems = 500

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
	out := []*item{}
	for _, k := range keys[:min(pageItems, len(keys))] {
		out = append(out, s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "more_pages": len(keys) > pageItems, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []*item{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[i:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		out, changed := map[string]any{"events": events, "store_revision": s.revision}, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var in struct {
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
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		have := int64(0)
		if it := s.items[e.Key]; it != nil {
			have = it.Revision
		}
		if have != e.Revision {
			found := []*item{}
			for _, e := range in.Expected {
				if it := s.items[e.Key]; it != nil {
					found = append(found, it)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": found})
			return
		}
	}
	for _, p := range in.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	// All changes of a transaction have one revision.
	base := s.revision + 1
	for _, p := range in.Writes {
		s.revision = base - 1
		s.write(p.Key, p.Value, false, p.Lease)
	}
	for _, k := range in.Deletes {
		if s.items[k] != nil {
			s.revision = base - 1
			s.write(k, nil, true, 0)
		}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
