package kvsim_test

import (
	"context"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// shortWait is how long the watches of these tests wait for a change.
const shortWait = 50 * time.Millisecond

// watching is a watch whose run method is a goroutine.
type watching struct {
	server *kvsim.Server
	ctx    context.Context
	after  int64
	done   chan struct{}
	res    *pb.WatchResponse
	err    error
}

func (w *watching) run() {
	defer close(w.done)
	res, err := w.server.Watch(w.ctx, connect.NewRequest(&pb.WatchRequest{Prefix: []string{"a/"}, After: w.after, Wait: durationpb.New(shortWait)}))
	w.err = err
	if err == nil {
		w.res = res.Msg
	}
}

var _ = Describe("a store", func() {
	var (
		s       *kvsim.Server
		written []string
	)
	watch := func(ctx context.Context, after int64) *watching {
		w := &watching{server: s, ctx: ctx, after: after, done: make(chan struct{})}
		go w.run()
		return w
	}
	load := func(names ...string) {
		values := map[string][]byte{}
		for _, n := range names {
			values["a/"+n] = []byte(n)
		}
		s.Load(values)
	}
	BeforeEach(func() {
		written = nil
		s = kvsim.New(clock.Wall(), 1)
		s.Written = func(_ int64, it *pb.Item) { written = append(written, it.GetKey()) }
	})

	It("writes many keys at once, and tells of each change in order", func() {
		load("c", "b", "d")
		Expect(written).To(Equal([]string{"a/b", "a/c", "a/d"}))
		w := watch(context.Background(), 1)
		Eventually(w.done).Should(BeClosed())
		Expect(w.res.GetItem()).To(HaveLen(2))
	})

	It("stores the value that Rewrite returns", func() {
		s.Rewrite = func(key string, value []byte) []byte { return append([]byte(key+" "), value...) }
		_, err := s.Swap(context.Background(), connect.NewRequest(&pb.SwapRequest{Key: "a/b", Value: []byte("v")}))
		Expect(err).NotTo(HaveOccurred())
		res, err := s.Get(context.Background(), connect.NewRequest(&pb.GetRequest{Key: "a/b"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(res.Msg.GetItem().GetValue())).To(Equal("a/b v"))
	})

	for _, tc := range []struct {
		name   string
		forget bool
		items  int
		lost   bool
	}{
		{"gives the changes to a watch once it is not muted any more", false, 2, false},
		{"tells a watch that its history is lost once it is not muted any more", true, 0, true},
	} {
		It(tc.name, func() {
			s.SetMuted(true)
			w := watch(context.Background(), 0)
			load("b", "c")
			Consistently(w.done, 3*shortWait).ShouldNot(BeClosed())
			if tc.forget {
				s.ForgetHistory()
			}
			s.SetMuted(false)
			Eventually(w.done).Should(BeClosed())
			Expect(w.err).NotTo(HaveOccurred())
			Expect(w.res.GetItem()).To(HaveLen(tc.items))
			Expect(w.res.GetLost()).To(Equal(tc.lost))
		})
	}

	It("ends a muted watch with its call", func() {
		s.SetMuted(true)
		ctx, cancel := context.WithCancel(context.Background())
		w := watch(ctx, 0)
		Consistently(w.done, 3*shortWait).ShouldNot(BeClosed())
		cancel()
		Eventually(w.done).Should(BeClosed())
		Expect(w.err).To(HaveOccurred())
	})
})
