package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/admit"
)

var start = time.Unix(1000, 0)

const runTime = 100 * time.Millisecond

// arrival is a call that arrives at a time after start. Its soft deadline and deadline count from its arrival.
type arrival struct {
	name         string
	at           time.Duration
	priority     int
	softDeadline time.Duration
	deadline     time.Duration
}

func (a arrival) call() *call.Call {
	at := start.Add(a.at)
	return &call.Call{RequestID: a.name, Priority: a.priority, Arrived: at, SoftDeadline: at.Add(a.softDeadline), Deadline: at.Add(a.deadline)}
}

// fullLimiter returns a limiter that has admitted as many calls as its limit.
func fullLimiter() *admit.Limiter[string] { return refill(admit.New[string](tune.AdmitLimitInitial)) }

// refill lets a limiter without calls admit as many as its limit.
func refill(l *admit.Limiter[string]) *admit.Limiter[string] {
	for range tune.AdmitLimitInitial {
		s, _ := l.Acquire(start, arrival{deadline: time.Second}.call(), runTime, 10, "")
		Expect(s).To(Equal(stage.Probe))
	}
	return l
}

var _ = Describe("Limiter", func() {
	for _, tc := range []struct {
		name     string
		arrivals []arrival
		// at is the time after start at which as many admitted calls end as there are in admitted.
		at       time.Duration
		admitted []string
		expired  []string
	}{
		{
			"admits the newest call first among those that can meet their soft deadline",
			[]arrival{{"a", 0, 0, time.Second, 2 * time.Second}, {"b", time.Millisecond, 0, time.Second, 2 * time.Second}},
			10 * time.Millisecond, []string{"b", "a"}, nil,
		},
		{
			"admits calls that miss their soft deadline after those that meet it",
			[]arrival{{"late", 0, 0, 110 * time.Millisecond, 2 * time.Second}, {"timely", 0, 0, time.Second, 2 * time.Second}},
			50 * time.Millisecond, []string{"timely", "late"}, nil,
		},
		{
			"admits a lower priority number first among calls that can meet their soft deadline",
			[]arrival{{"low", time.Millisecond, 2, time.Second, 2 * time.Second}, {"high", 0, 1, time.Second, 2 * time.Second}},
			10 * time.Millisecond, []string{"high", "low"}, nil,
		},
		{
			"removes calls whose deadline would pass while they run",
			[]arrival{{"a", 0, 0, 50 * time.Millisecond, 150 * time.Millisecond}, {"b", 0, 0, time.Second, 2 * time.Second}},
			60 * time.Millisecond, []string{"b"}, []string{"a"},
		},
	} {
		It(tc.name, func() {
			l := fullLimiter()
			for _, a := range tc.arrivals {
				s, _ := l.Acquire(start.Add(a.at), a.call(), runTime, 10, a.name)
				Expect(s).To(Equal(stage.Wait))
			}
			now := start.Add(tc.at)
			_, expired := l.AdmitNext(now, runTime)
			Expect(expired).To(Equal(tc.expired))
			for _, want := range tc.admitted {
				l.Release(now, tc.arrivals[0].call())
				admitted, _ := l.AdmitNext(now, runTime)
				Expect(admitted).To(Equal([]string{want}))
			}
			Expect(l.Len()).To(BeZero())
		})
	}

	for _, tc := range []struct {
		name     string
		maxQueue int
		deadline time.Duration
		want     stage.Stage
	}{
		{"waits while the queue has room and there is time", 1, time.Second, stage.Wait},
		{"is refused at once without room in the queue", 0, time.Second, stage.Refuse},
		{"is refused at once when its deadline cannot be met", 1, runTime / 2, stage.Refuse},
	} {
		It("a call beyond the limit "+tc.name, func() {
			s, _ := fullLimiter().Acquire(start, arrival{softDeadline: tc.deadline, deadline: tc.deadline}.call(), runTime, tc.maxQueue, "")
			Expect(s).To(Equal(tc.want))
		})
	}

	// Calls of a low priority were held until their deadline behind those of a higher one.
	for _, tc := range []struct {
		name     string
		priority int
		ahead    int
		hopeless []string
	}{
		{"keeps a call that waits behind few of a higher priority", 1, 3, nil},
		{"refuses a call at once that waits behind too many of a higher priority", 1, 30, []string{"low"}},
		{"keeps calls of one priority until their deadline", 0, 30, nil},
	} {
		It(tc.name, func() {
			l := fullLimiter()
			for i := range 100 {
				l.Release(start.Add(time.Duration(i)*50*time.Millisecond-5*time.Second), arrival{}.call())
			}
			l = refill(l)
			low := arrival{"low", 0, tc.priority, 400 * time.Millisecond, 600 * time.Millisecond}
			s, _ := l.Acquire(start, low.call(), runTime, 64, low.name)
			Expect(s).To(Equal(stage.Wait))
			for range tc.ahead {
				_, _ = l.Acquire(start, arrival{"high", time.Millisecond, 0, 2 * time.Second, 2 * time.Second}.call(), runTime, 64, "high")
			}
			_, expired := l.AdmitNext(start.Add(2*time.Millisecond), runTime)
			Expect(expired).To(Equal(tc.hopeless))
		})
	}

	for _, tc := range []struct {
		name       string
		overloaded int
		good       int
		want       int
	}{
		{"starts with the initial limit", 0, 0, tune.AdmitLimitInitial},
		{"lowers the limit for overloaded upstreams", 5, 0, 4},
		{"never goes below the lowest limit", 100, 0, tune.AdmitLimitMin},
		{"raises the limit by one for about as many good answers as the limit", 0, tune.AdmitLimitInitial + 2, tune.AdmitLimitInitial + 1},
		{"never goes above the highest limit", 0, 100000, tune.AdmitLimitMax},
	} {
		It(tc.name, func() {
			l := admit.New[string](tune.AdmitLimitInitial)
			for range tc.overloaded {
				l.Adapt(true)
			}
			for range tc.good {
				l.Adapt(false)
			}
			Expect(l.Limit()).To(Equal(tc.want))
		})
	}

	// With one run time of 232 ms for the service, calls of 64 ms with a target of 200 ms counted as late from the start.
	for _, tc := range []struct {
		rule string
		left time.Duration
		want stage.Stage
	}{
		{"short", 100 * time.Millisecond, stage.Wait},
		{"long", 100 * time.Millisecond, stage.Refuse},
		{"long", 500 * time.Millisecond, stage.Wait},
	} {
		It("takes the run time of the routing rule for a call, "+tc.rule+" with "+tc.left.String()+" left", func() {
			l := fullLimiter()
			l.RunTime = func(rule string, _ time.Duration) time.Duration {
				return map[string]time.Duration{"short": 64 * time.Millisecond, "long": 400 * time.Millisecond}[rule]
			}
			long, c := arrival{"long", 0, 0, time.Second, time.Second}.call(), arrival{"c", time.Millisecond, 0, 200 * time.Millisecond, tc.left}.call()
			long.Route, c.Route = "long", tc.rule
			_, _ = l.Acquire(start, long, 232*time.Millisecond, 10, "long")
			s, _ := l.Acquire(start, c, 232*time.Millisecond, 10, "c")
			Expect(s).To(Equal(tc.want))
			if tc.want == stage.Wait && tc.rule == "short" {
				l.Release(start, c)
				admitted, _ := l.AdmitNext(start.Add(10*time.Millisecond), 232*time.Millisecond)
				Expect(admitted).To(Equal([]string{"c"}), "the call of 64 ms is not late")
			}
		})
	}

	It("removes a waiting call", func() {
		l := fullLimiter()
		c := arrival{"a", 0, 0, time.Second, time.Second}.call()
		_, _ = l.Acquire(start, c, runTime, 10, "a")
		Expect(l.Remove(c)).To(BeTrue())
		Expect(l.Remove(c)).To(BeFalse())
		Expect(l.Len()).To(BeZero())
	})
})
