package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/traffic/queue"
)

// push is a call that is added to the queue.
type push struct {
	class  class.Class
	caller string
	value  string
}

var _ = Describe("Queue", func() {
	for _, tc := range []struct {
		name   string
		pushes []push
		want   []string
	}{
		{"serves the calls of one caller in order", []push{{0, "a", "1"}, {0, "a", "2"}}, []string{"1", "2"}},
		{"serves callers in turn", []push{{0, "a", "1"}, {0, "a", "2"}, {0, "a", "3"}, {0, "b", "4"}}, []string{"1", "4", "2", "3"}},
		{"serves interactive calls before bulk calls", []push{{class.Bulk, "a", "1"}, {class.Interactive, "b", "2"}}, []string{"2", "1"}},
	} {
		It(tc.name, func() {
			q := queue.New[string]()
			for _, p := range tc.pushes {
				q.Push(p.class, p.caller, time.Time{}, p.value)
			}
			var got []string
			for _, cl := range []class.Class{class.Interactive, class.Bulk} {
				for v, ok := q.Pop(cl); ok; v, ok = q.Pop(cl) {
					got = append(got, v)
				}
			}
			Expect(got).To(Equal(tc.want))
			Expect(q.Len()).To(BeZero())
		})
	}

	It("removes the calls that match and keeps the order of the callers that are left", func() {
		q := queue.New[string]()
		for _, p := range []push{{0, "a", "1"}, {0, "b", "2"}, {0, "a", "3"}} {
			q.Push(p.class, p.caller, time.Time{}, p.value)
		}
		Expect(q.Remove(func(_ time.Time, v string) bool { return v == "1" })).To(Equal([]string{"1"}))
		Expect(q.Ahead(class.Interactive, "c")).To(Equal(2))
		v, _ := q.Pop(class.Interactive)
		Expect(v).To(Equal("3"))
	})
})
