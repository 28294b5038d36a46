package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/claims"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/split"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// keyedUpstream counts its runs, each of which is answered with its number.
type keyedUpstream struct {
	mu   sync.Mutex
	runs int
	// hold delays the answers until it is closed; nil for none.
	hold chan struct{}
	// answer writes the answer of a run; nil for one with the number as the body.
	answer http.HandlerFunc
}

func (u *keyedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.runs++
	n := u.runs
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if u.hold != nil {
		<-u.hold
	}
	if u.answer != nil {
		u.answer(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "run %d", n)
}

func (u *keyedUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs
}

// memoryStore holds keys in memory. Claim clients write to their store after their entry has closed; with a store on a socket, they
// could reach the upstream of a later test, whose address is that of the earlier store.
type memoryStore struct {
	mu    sync.Mutex
	items map[string]item.Item
}

func (s *memoryStore) get(_ context.Context, key string) (item.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], nil
}

func (s *memoryStore) compareAndSwap(_ context.Context, it item.Item, expect revno.Revision, _ int64) (bool, item.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.items[it.Key]; held.Revision != expect {
		return false, held, nil
	}
	it.Revision = expect + 1
	s.items[it.Key] = it
	return true, it, nil
}

// startKeyed starts two entries that share an upstream and a store for claims, and returns their URLs.
func startKeyed(u *keyedUpstream) []string {
	s := &memoryStore{items: map[string]item.Item{}}
	var urls []string
	for i := range 2 {
		c := claims.New(clock.Wall(), fmt.Sprint("entry-", i))
		c.Get, c.CompareAndSwap = s.get, s.compareAndSwap
		srv := startEntry(u.ServeHTTP)
		h := srv.Config.Handler.(*proxy.Handler)
		h.Claim, h.CompleteClaim = c.Claim, c.Complete
		urls = append(urls, srv.URL)
	}
	return urls
}

// keyedRequest is a request with an idempotency key; the fields that are empty have the value of the first request.
type keyedRequest struct {
	method, uri, body, credentials, forwarded string
}

// reply is a response whose body has been read.
type reply struct {
	*http.Response
	body string
}

// send sends the request to an entry.
func (k keyedRequest) send(entry string) reply {
	or := func(s, otherwise string) string {
		if s == "" {
			return otherwise
		}
		return s
	}
	body := or(k.body, "amount=1")
	req, err := http.NewRequest(or(k.method, http.MethodPost), entry+or(k.uri, "/s/pay?to=a"), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(wire.IdempotencyKey, "key-1")
	// The client would decode what it gets without this.
	req.Header.Set("Accept-Encoding", "identity")
	req.Header.Set("X-Forwarded-For", or(k.forwarded, "192.0.2.1"))
	if k.credentials != "" {
		req.Header.Set("Authorization", k.credentials)
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{res, string(data)}
}

// A caller must get neither a second run of its request nor the answer to another request.
var _ = Describe("A request with an idempotency key", func() {
	large := strings.Repeat("x", tune.MaxReplayBody+1)
	for _, tc := range []struct {
		name          string
		first, second keyedRequest
		// status, body (a part of it) and outcome are those of the second request; runs counts both.
		status        int
		body, outcome string
		runs          int
	}{
		{"that is a repeat", keyedRequest{}, keyedRequest{}, 200, "run 1", "answered", 1},
		{"that is a repeat with the same credentials from another address", keyedRequest{credentials: "Bearer a"}, keyedRequest{credentials: "Bearer a", forwarded: "192.0.2.2"}, 200, "run 1", "answered", 1},
		{"from another address", keyedRequest{}, keyedRequest{forwarded: "192.0.2.2"}, 200, "run 2", "answered", 2},
		{"with other credentials", keyedRequest{credentials: "Bearer a"}, keyedRequest{credentials: "Bearer b"}, 200, "run 2", "answered", 2},
		{"with credentials that read like an address", keyedRequest{}, keyedRequest{credentials: "192.0.2.1"}, 200, "run 2", "answered", 2},
		{"with another method", keyedRequest{}, keyedRequest{method: http.MethodPatch}, 422, "another method;", "notrun", 1},
		{"with another path", keyedRequest{}, keyedRequest{uri: "/s/refund?to=a"}, 422, "another path or query;", "notrun", 1},
		{"with another query", keyedRequest{}, keyedRequest{uri: "/s/pay?to=b"}, 422, "another path or query;", "notrun", 1},
		{"with another body", keyedRequest{}, keyedRequest{body: "amount=2"}, 422, "another body;", "notrun", 1},
		{"with another path and body", keyedRequest{}, keyedRequest{uri: "/s/refund", body: "amount=2"}, 422, "another path or query, another body;", "notrun", 1},
		{"with another path and other credentials", keyedRequest{}, keyedRequest{uri: "/s/refund", credentials: "Bearer b"}, 200, "run 2", "answered", 2},
		{"that repeats a streamed body", keyedRequest{body: large}, keyedRequest{body: large}, 409, "duplicate", "unknown", 1},
		{"with a small body after a streamed one", keyedRequest{body: large}, keyedRequest{}, 409, "duplicate", "unknown", 1},
		{"with a streamed body after a small one", keyedRequest{}, keyedRequest{body: large}, 409, "duplicate", "unknown", 1},
		{"with another path and a streamed body", keyedRequest{body: large}, keyedRequest{uri: "/s/refund", body: large}, 422, "another path or query;", "notrun", 1},
		{"with other credentials and a streamed body", keyedRequest{body: large}, keyedRequest{body: large, credentials: "Bearer b"}, 200, "run 2", "answered", 2},
	} {
		for _, entry := range []struct {
			name  string
			index int
		}{{"the same entry", 0}, {"another entry", 1}} {
			It("gets neither a second run nor another's answer: "+tc.name+", at "+entry.name, func() {
				u := &keyedUpstream{}
				urls := startKeyed(u)
				first := tc.first.send(urls[0])
				Expect(first.StatusCode).To(Equal(200))
				Expect(first.body).To(Equal("run 1"))
				second := tc.second.send(urls[entry.index])
				Expect(u.count()).To(Equal(tc.runs))
				Expect(second.body).To(ContainSubstring(tc.body))
				Expect(second.StatusCode).To(Equal(tc.status))
				Expect(second.Header.Get(wire.Outcome)).To(Equal(tc.outcome))
				if tc.status == 422 {
					Expect(second.Header.Get(wire.Reason)).To(Equal("reused"))
					Expect(second.Header).NotTo(HaveKey("Retry-After"))
				}
			})

			It("while the first still runs: "+tc.name+", at "+entry.name, func() {
				u := &keyedUpstream{hold: make(chan struct{})}
				urls := startKeyed(u)
				release := sync.OnceFunc(func() { close(u.hold) })
				// The servers close only once the upstream has answered.
				DeferCleanup(release)
				first := &keyedSender{tc.first, urls[0], make(chan reply, 1)}
				go first.run()
				Eventually(u.count, "2s").Should(Equal(1))
				second := &keyedSender{tc.second, urls[entry.index], make(chan reply, 1)}
				go second.run()
				if tc.status == 422 {
					// A conflict needs no answer of the first request.
					Eventually(second.replies, "2s").Should(Receive(HaveField("StatusCode", 422)))
				} else {
					Consistently(second.replies, "100ms").ShouldNot(Receive())
				}
				release()
				var a reply
				Eventually(first.replies, "3s").Should(Receive(&a))
				Expect(a.body).To(Equal("run 1"))
				if tc.status != 422 {
					Eventually(second.replies, "3s").Should(Receive(&a))
					Expect(a.StatusCode).To(Equal(tc.status))
					Expect(a.body).To(ContainSubstring(tc.body))
				}
				Expect(u.count()).To(Equal(tc.runs))
			})
		}
	}

	It("runs once of many that are sent at the same time through both entries", func() {
		u := &keyedUpstream{}
		urls := startKeyed(u)
		var senders []*keyedSender
		for i := range 20 {
			s := &keyedSender{keyedRequest{}, urls[i%2], make(chan reply, 1)}
			senders = append(senders, s)
			go s.run()
		}
		for _, s := range senders {
			var a reply
			Eventually(s.replies, "5s").Should(Receive(&a))
			Expect(a.StatusCode).To(Equal(200))
			Expect(a.body).To(Equal("run 1"))
		}
		Expect(u.count()).To(Equal(1))
	})

	It("runs once on a rule with several services", func() {
		u := &keyedUpstream{}
		s := &memoryStore{items: map[string]item.Item{}}
		c := claims.New(clock.Wall(), "entry")
		c.Get, c.CompareAndSwap = s.get, s.compareAndSwap
		srv := startEntry(u.ServeHTTP)
		h := srv.Config.Handler.(*proxy.Handler)
		h.Claim, h.CompleteClaim = c.Claim, c.Complete
		rule := &rulrec.Rule{Name: "r", Splits: []split.Split{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
		h.Rule = func(string, string) (*rulrec.Rule, bool) { return rule, true }
		svc, p := h.Service("s")
		h.Service = func(name string) (*svcrec.Service, *pool.Pool) {
			named := *svc
			named.Name = name
			return &named, p
		}
		for range 10 {
			Expect(keyedRequest{}.send(srv.URL).body).To(Equal("run 1"))
		}
	})

	It("may be sent with another body once the first is known not to have run", func() {
		var accepts atomic.Bool
		u := &keyedUpstream{answer: func(w http.ResponseWriter, _ *http.Request) {
			if !accepts.Load() {
				w.Header().Set(wire.Executed, wire.ExecutedNone)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "done")
		}}
		urls := startKeyed(u)
		Expect(keyedRequest{}.send(urls[0]).Header.Get(wire.Outcome)).To(Equal("notrun"))
		accepts.Store(true)
		Eventually(func() string { return keyedRequest{body: "amount=2"}.send(urls[1]).body }, "2s").Should(Equal("done"))
	})
})

// A repeat must not be told from the first request by what is missing in its answer.
var _ = Describe("A stored answer", func() {
	set := func(status int, body string, headers ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(headers); i += 2 {
				w.Header().Add(headers[i], headers[i+1])
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		// stored is false if the answer is too large to be stored.
		stored bool
	}{
		{"with a status and headers", set(201, "made", "Location", "/s/pay/1", "Content-Type", "text/x-own", "Etag", `"1"`, "Cache-Control", "no-store", "X-Request-Cost", "3"), true},
		{"with a header of several values", set(200, "x", "Set-Cookie", "a=1", "Set-Cookie", "b=2"), true},
		{"with an encoded body", set(200, "\x1f\x8b", "Content-Encoding", "gzip"), true},
		{"with values that are not valid UTF-8", set(200, "x", "X-Name", "caf\xe9", "Content-Type", "text/plain; name=caf\xe9"), true},
		{"with a date of its own", set(200, "x", "Date", "Mon, 02 Jan 2006 15:04:05 GMT"), true},
		{"that is a failure", set(404, "no account", "X-Error", "none"), true},
		{"without a body", set(204, "", "X-Done", "1"), true},
		{"with an empty body", set(200, "", "X-Done", "1"), true},
		{"with an empty body of unknown length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Done", "1")
			w.(http.Flusher).Flush()
		}, true},
		{"with a body of unknown length", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "b")
		}, true},
		{"with trailers", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "x")
			w.Header().Set("X-Sum", "7")
		}, true},
		{"with the longest body that is stored", set(200, strings.Repeat("x", tune.MaxClaimResponse)), true},
		{"with a body that is too long", set(200, strings.Repeat("x", tune.MaxClaimResponse+1)), false},
		{"with headers that are too long", set(200, "x", "X-Long", strings.Repeat("x", 2*tune.MaxClaimResponse)), false},
	} {
		It("has all that the first had: "+tc.name, func() {
			u := &keyedUpstream{answer: tc.answer}
			urls := startKeyed(u)
			first := keyedRequest{}.send(urls[0])
			for _, url := range urls {
				repeat := keyedRequest{}.send(url)
				Expect(u.count()).To(Equal(1))
				if !tc.stored {
					Expect(repeat.StatusCode).To(Equal(http.StatusConflict))
					Expect(repeat.Header.Get(wire.Outcome)).To(Equal("unknown"))
					continue
				}
				Expect(repeat.Header.Get(wire.Reason)).To(Equal("duplicate"))
				repeat.Header.Del(wire.Reason)
				if first.ContentLength < 0 {
					// The length of a stored body is known.
					repeat.Header.Del("Content-Length")
				}
				Expect(repeat.StatusCode).To(Equal(first.StatusCode))
				Expect(repeat.Header).To(Equal(first.Header))
				Expect(repeat.body).To(Equal(first.body))
				Expect(repeat.Trailer).To(Equal(first.Trailer))
			}
		})
	}
})

// keyedSender sends one request; its run method is a goroutine.
type keyedSender struct {
	request keyedRequest
	entry   string
	replies chan reply
}

func (s *keyedSender) run() {
	defer GinkgoRecover()
	s.replies <- s.request.send(s.entry)
}
