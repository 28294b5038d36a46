package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/wire"
)

const (
	// lateDelay and lateDrain are the shutdown delay and the drain timeout of the stops below. Calls that still wait are refused
	// in the last 200 ms.
	lateDelay = 100 * time.Millisecond
	lateDrain = 2 * time.Second
	// lateWork is how long an upstream works on a call.
	lateWork = time.Second
)

// slowBody sends a POST request to an entry whose body is complete at a given time; it returns the outcome.
func slowBody(addr string, complete time.Time, half chan<- struct{}) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "cut"
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /s/late HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nBalsamvale-Deadline: 30s\r\n\r\n12345")
	close(half)
	time.Sleep(time.Until(complete))
	_, _ = io.WriteString(conn, "67890")
	return outcomeOf(http.ReadResponse(bufio.NewReader(conn), nil))
}

// outcomeAtExit returns the outcome of a call when its entry has stopped; a call without one is cut by the exit of the process.
func outcomeAtExit(outcomes <-chan string) string {
	select {
	case s := <-outcomes:
		return s
	case <-time.After(exitSlack):
		return "cut"
	}
}

// exitSlack is how long a response that was sent before the end of a stop may take to arrive.
const exitSlack = 50 * time.Millisecond

// A call that is first sent to an upstream when the time of a stop is nearly over is cut, although it could be refused as not run.
var _ = Describe("A planned stop and a call whose body arrives slowly", func() {
	for _, tc := range []struct {
		name string
		// complete is when the body is complete, after the stop has begun.
		complete time.Duration
		outcome  string
		runs     int64
	}{
		{"serves it if the body is complete in time", 300 * time.Millisecond, "200 ", 1},
		{"refuses it as not run if the body is complete when the calls that still wait are refused", lateDelay + lateDrain - 100*time.Millisecond, "503 notrun", 0},
	} {
		It(tc.name, func() {
			var runs atomic.Int64
			_, up := startProbed(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(lateWork)
				_, _ = io.WriteString(w, "x")
			})
			o := &option.Options{ShutdownDelay: lateDelay, DrainTimeout: lateDrain, HandoverTimeout: 100 * time.Millisecond}
			stop, done := startLoggingDaemon(up, o, GinkgoWriter)
			outcomes, half := make(chan string, 1), make(chan struct{})
			begin := time.Now().Add(50 * time.Millisecond)
			go func() { outcomes <- slowBody(o.Front.String(), begin.Add(tc.complete), half) }()
			<-half
			time.Sleep(time.Until(begin))
			stop()
			Eventually(done, "5s").Should(Receive(BeNil()))
			Expect(outcomeAtExit(outcomes)).To(HavePrefix(tc.outcome))
			Expect(runs.Load()).To(Equal(tc.runs))
		})
	}
})

// shedOnce answers its first call at a given time, as not run, and works on the others.
type shedOnce struct {
	runs   atomic.Int64
	shedAt atomic.Pointer[time.Time]
}

func (u *shedOnce) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if u.runs.Add(1) == 1 {
		time.Sleep(time.Until(*u.shedAt.Load()))
		w.Header().Set(wire.Executed, wire.ExecutedNone)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(lateWork)
	_, _ = io.WriteString(w, "x")
}

// A retry that starts when the time of a stop is nearly over is cut, although the call could be refused as not run.
var _ = Describe("A planned stop and a call that its first upstream does not run", func() {
	for _, tc := range []struct {
		name string
		// fails is when the attempt ends, after the stop has begun.
		fails   time.Duration
		outcome string
		runs    int64
	}{
		{"tries again if there is time", 300 * time.Millisecond, "200 ", 2},
		{"refuses it without a retry when the calls that still wait are refused", lateDelay + lateDrain - 100*time.Millisecond, "503 notrun", 1},
	} {
		It(tc.name, func() {
			u := &shedOnce{}
			first, up := startProbed(u.ServeHTTP)
			second, other := startProbed(u.ServeHTTP)
			o := &option.Options{ShutdownDelay: lateDelay, DrainTimeout: lateDrain, HandoverTimeout: 100 * time.Millisecond}
			stop, done := startLoggingDaemon(up, o, GinkgoWriter)
			putRecords(o.Store, "[[upstream]]\nschema = 1\nname = \"v\"\nservice = \"s\"\ndomain = \"zone-1\"\nversion = \"v1\"\naddr = \""+strings.TrimPrefix(other.URL, "http://")+"\"\n")
			time.Sleep(500 * time.Millisecond)
			// A probe once counted as the call, which was then served instead of refused.
			Eventually(func() int64 { return first.probes.Load() + second.probes.Load() }, "10s").Should(BeNumerically(">", 0))
			at := time.Now().Add(50 * time.Millisecond)
			fails := at.Add(tc.fails)
			u.shedAt.Store(&fails)
			outcomes := make(chan string, 1)
			go func() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+o.Front.String()+"/s/late", strings.NewReader("x"))
				req.Header.Set(wire.Deadline, "30s")
				outcomes <- outcomeOf(http.DefaultClient.Do(req))
			}()
			time.Sleep(time.Until(at))
			stop()
			Eventually(done, "5s").Should(Receive(BeNil()))
			Expect(outcomeAtExit(outcomes)).To(HavePrefix(tc.outcome))
			Expect(u.runs.Load()).To(Equal(tc.runs))
		})
	}
})
