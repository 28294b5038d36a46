package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// silence is three ping intervals: an entry under servers/ that its backend has not written for so long is removed.
const silence = 3 * heartbeat

// kvItem is an item of the store.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// kvLease is a lease of the store.
type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// kvState is what the store holds; a copy of it can be restored.
type kvState struct {
	items    map[string]kvItem
	leases   map[int64]kvLease
	revision int64
}

// store is a stand-in for the platform's metadata store. Backends and the operator use it directly, the system over HTTP.
type store struct {
	addr string

	mu      sync.Mutex
	changed *sync.Cond
	state   kvState
	log     []kvItem
	// since is the revision up to which the history is gone.
	since int64
	// heard is when each entry under servers/ was last written.
	heard map[string]time.Time
	// era rises with each copy that is brought back.
	era       int
	down      bool
	conns     map[net.Conn]bool
	lastLease int64
}

func newStore() *store {
	s := &store{state: kvState{items: map[string]kvItem{}, leases: map[int64]kvLease{}, revision: 100}, heard: map[string]time.Time{}, conns: map[net.Conn]bool{}, lastLease: 77000}
	s.since = s.state.revision
	s.changed = sync.NewCond(&s.mu)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	s.addr = ln.Addr().String()
	srv := &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch st {
		case http.StateNew:
			s.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	go s.sweep()
	return s
}

// sweep removes what has expired.
func (s *store) sweep() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for key, at := range s.heard {
			if _, ok := s.state.items[key]; ok && now.Sub(at) > silence {
				s.write(kvItem{Key: key, Tombstone: true})
				record("store: %s removed after %v of silence", key, silence)
			}
		}
		if !s.down {
			for id, l := range s.state.leases {
				if now.After(l.expires) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.state.leases, id)
	for key, it := range s.state.items {
		if it.Lease == id {
			s.write(kvItem{Key: key, Tombstone: true})
		}
	}
}

// write applies one change under the lock.
func (s *store) write(it kvItem) int64 {
	s.state.revision++
	it.Revision = s.state.revision
	if it.Tombstone {
		delete(s.state.items, it.Key)
		delete(s.heard, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.state.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.state.items[it.Key] = it
		if strings.HasPrefix(it.Key, "servers/") {
			s.heard[it.Key] = time.Now()
		}
	}
	s.log = append(s.log, it)
	s.changed.Broadcast()
	return it.Revision
}

// put writes a value for the operator or a backend; it fails while the store is down.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		unable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(kvItem{Key: key, Value: data})
	return true
}

// remove removes a key for the operator or a backend.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.items[key]; ok {
		s.write(kvItem{Key: key, Tombstone: true})
	}
}

// copyState returns a copy of what the store holds.
func (s *store) copyState() kvState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kvState{maps.Clone(s.state.items), maps.Clone(s.state.leases), s.state.revision}
}

// stop takes the store away: connections are reset, and new ones too.
func (s *store) stop() {
	s.mu.Lock()
	s.down = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.changed.Broadcast()
	s.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// restart brings the store back with what it held, or from a copy, in the next era.
func (s *store) restart(from *kvState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	if from == nil {
		return
	}
	s.era++
	s.state = kvState{maps.Clone(from.items), maps.Clone(from.leases), from.revision}
	s.log, s.since = nil, from.revision
	now := time.Now()
	s.heard = map[string]time.Time{}
	for key := range s.state.items {
		if strings.HasPrefix(key, "servers/") {
			s.heard[key] = now
		}
	}
	for id, l := range s.state.leases {
		l.expires = now.Add(l.ttl)
		s.state.leases[id] = l
	}
	s.changed.Broadcast()
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP serves a call of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		it, ok := s.state.items[q.Get("key")]
		if !ok {
			s.reply(w, 404, map[string]any{"store_revision": s.state.revision})
			return
		}
		s.reply(w, 200, struct {
			kvItem
			StoreRevision int64 `json:"store_revision"`
		}{it, s.state.revision})
	case path == "/kv-range":
		items := []kvItem{}
		for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
			if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
				items = append(items, s.state.items[key])
			}
		}
		s.reply(w, 200, map[string]any{"items": items, "more_pages": false, "store_revision": s.state.revision})
	case path == "/kv-watch":
		s.watch(w, q.Get("path_prefix"), q.Get("after"), q.Get("wait_ms"))
	case path == "/kv-txn":
		s.txn(w, body)
	case path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.lastLease++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.state.leases[s.lastLease] = kvLease{ttl, time.Now().Add(ttl)}
		s.reply(w, 200, map[string]any{"lease": s.lastLease, "ttl_ms": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l, ok := s.state.leases[id]
		if !ok {
			s.reply(w, 404, nil)
			return
		}
		l.expires = time.Now().Add(l.ttl)
		s.state.leases[id] = l
		s.reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.reply(w, 200, map[string]any{})
	default:
		s.reply(w, 400, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, prefix, after, wait string) {
	from, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.Atoi(wait)
	era := s.era
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer wake.Stop()
	for {
		if s.down {
			panic(http.ErrAbortHandler)
		}
		if from < s.since || from > s.state.revision || era != s.era {
			s.reply(w, 410, nil)
			return
		}
		events := []kvItem{}
		for _, it := range s.log {
			if it.Revision > from && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || !time.Now().Before(until) {
			s.reply(w, 200, map[string]any{"events": events, "store_revision": s.state.revision})
			return
		}
		s.changed.Wait()
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
		s.reply(w, 400, nil)
		return
	}
	items := []kvItem{}
	met := true
	for _, e := range in.Expected {
		it, ok := s.state.items[e.Key]
		met = met && it.Revision == e.Revision
		if ok {
			items = append(items, it)
		}
	}
	if !met {
		s.reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, x := range in.Writes {
		if _, ok := s.state.leases[x.Lease]; x.Lease != 0 && !ok {
			s.reply(w, 404, nil)
			return
		}
	}
	for _, x := range in.Writes {
		s.write(kvItem{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	for _, key := range in.Deletes {
		s.write(kvItem{Key: key, Tombstone: true})
	}
	s.reply(w, 200, map[string]any{"revision": s.state.revision})
}
