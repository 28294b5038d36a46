package counts_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/balsamvale/balsamvale/internal/counts"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
)

const length = 5 * time.Second

// caller counts calls of some accounts; its run method is a goroutine.
type caller struct {
	meter *counts.Meter
	at    time.Time
	wg    *sync.WaitGroup
}

func (c *caller) run() {
	defer c.wg.Done()
	for i := range 1000 {
		account := fmt.Sprint("a", i%7)
		c.meter.Begin(account, c.at)
		if i%4 == 0 {
			c.meter.Undo(account, c.at)
		}
	}
}

// Guards against counts that are lost among concurrent calls, and against a window that is handed over before it has ended.
func TestConcurrentCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	m := counts.New(start, length)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go (&caller{m, start.Add(time.Duration(i%2) * length), &wg}).run()
	}
	wg.Wait()
	for _, tc := range []struct {
		name  string
		now   time.Time
		all   bool
		calls []int64
	}{
		{"within the first window", start.Add(length - 1), false, nil},
		{"before its counts are settled", start.Add(length + 500*time.Millisecond), false, nil},
		{"after it", start.Add(length + time.Second), false, []int64{3000}},
		{"after it, with the one that has not ended", start.Add(length + time.Second), true, []int64{3000, 3000}},
		{"after both and one without calls", start.Add(3*length + time.Second), false, []int64{3000, 3000, 0}},
	} {
		if got := sums(m.Ended(tc.now, tc.all)); fmt.Sprint(got) != fmt.Sprint(tc.calls) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.calls)
		}
	}
	m.Forget(200)
	m.Undo("a1", start)
	if got := m.Ended(start.Add(3*length+time.Second), false); fmt.Sprint(sums(got)) != "[3000 0]" || got[0].Window != 201 {
		t.Errorf("after the first window is forgotten: %v", got)
	}
	if got := m.Ended(start.Add(1000*length), false); len(got) != 24 {
		t.Errorf("%d windows are kept while nobody takes them", len(got))
	}
}

// sums returns the number of calls in each window.
func sums(list []usage.Usage) (out []int64) {
	for _, u := range list {
		n := int64(0)
		for _, c := range u.Counts {
			n += c
		}
		out = append(out, n)
	}
	return out
}

// BenchmarkBegin shows what counting adds to a call.
func BenchmarkBegin(b *testing.B) {
	at := time.Unix(1000, 0)
	m := counts.New(at, length)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			m.Begin(accounts[i%len(accounts)], at)
		}
	})
}

var accounts = []string{"cuka620", "seje681", "vapo113", "lumi008"}
