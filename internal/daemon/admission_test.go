package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/wire"
)

// pathLog is an upstream that records the paths of the calls it gets; it takes three seconds for those to /long.
type pathLog struct {
	mu    sync.Mutex
	paths []string
}

func (p *pathLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.paths = append(p.paths, r.URL.Path)
	p.mu.Unlock()
	if r.URL.Path == "/long" {
		time.Sleep(3 * time.Second)
	}
	_, _ = io.WriteString(w, "x")
}

func (p *pathLog) seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.paths...)
}

// outcomeOf returns the status and the outcome of a response; "cut" if there is none.
func outcomeOf(res *http.Response, err error) string {
	if err != nil {
		return "cut"
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return strconv.Itoa(res.StatusCode) + " " + res.Header.Get(wire.Outcome)
}

// lateCall is a caller whose call comes late in a stop, on a connection that it has opened before.
type lateCall struct {
	// addr is the address of the entry.
	addr   string
	conn   net.Conn
	client *http.Client
	// deadline is the time that the caller gives the call.
	deadline string
}

// openInHead sends the begin of a head.
func (c *lateCall) openInHead() {
	var err error
	c.conn, err = net.Dial("tcp", c.addr)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c.conn, "POST /s/late HTTP/1.1\r\n"+wire.Deadline+": "+c.deadline+"\r\nHo")
	Expect(err).NotTo(HaveOccurred())
}

func (c *lateCall) finishHead() string {
	defer func() { _ = c.conn.Close() }()
	_, err := io.WriteString(c.conn, "st: a\r\nContent-Length: 0\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	return outcomeOf(http.ReadResponse(bufio.NewReader(c.conn), nil))
}

// openHTTP2 makes a call over HTTP/2; the connection stays open.
func (c *lateCall) openHTTP2() {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	DeferCleanup(t.CloseIdleConnections)
	c.client = &http.Client{Transport: t}
	Expect(outcomeOf(c.client.Get("http://" + c.addr + "/s/a"))).To(HavePrefix("200"))
}

func (c *lateCall) postHTTP2() string {
	req, _ := http.NewRequest(http.MethodPost, "http://"+c.addr+"/s/late", nil)
	req.Header.Set(wire.Deadline, c.deadline)
	return outcomeOf(c.client.Do(req))
}

// A call that is passed on late in a stop is cut when its time ends, although another entry could have served it.
var _ = Describe("A planned stop with a call in flight", func() {
	for _, tc := range []struct {
		name string
		open func(*lateCall)
		send func(*lateCall) string
		// deadline is what the caller gives the call, and outcome what becomes of it. The stop takes at most 4.1 s.
		deadline, outcome string
	}{
		{"refuses as not run a late call whose head began to arrive before", (*lateCall).openInHead, (*lateCall).finishHead, "10s", "503 notrun"},
		{"refuses as not run a late call on an HTTP/2 connection that was idle", (*lateCall).openHTTP2, (*lateCall).postHTTP2, "10s", "503 notrun"},
		{"serves a late call whose deadline is before its end, on a half-read head", (*lateCall).openInHead, (*lateCall).finishHead, "1s", "200 answered"},
		{"serves a late call whose deadline is before its end, over HTTP/2", (*lateCall).openHTTP2, (*lateCall).postHTTP2, "1s", "200 answered"},
	} {
		It(tc.name, func() {
			paths := &pathLog{}
			up := httptest.NewServer(paths)
			DeferCleanup(up.Close)
			o := &option.Options{ShutdownDelay: 100 * time.Millisecond, DrainTimeout: 4 * time.Second, HandoverTimeout: 100 * time.Millisecond, ReadHeaderTimeout: 10 * time.Second}
			stop, done := startDaemon(up, o)
			outcomes := make(chan string, 1)
			go (&heldCall{url: "http://" + o.Front.String() + "/s/long", outcomes: outcomes}).run()
			Eventually(paths.seen, "2s").Should(ContainElement("/long"))
			late := &lateCall{addr: o.Front.String(), deadline: tc.deadline}
			tc.open(late)
			stop()
			time.Sleep(700 * time.Millisecond)
			Expect(tc.send(late)).To(Equal(tc.outcome))
			Eventually(outcomes, "5s").Should(Receive(HavePrefix("200")))
			Eventually(done, "5s").Should(Receive(BeNil()))
			Expect(slices.Contains(paths.seen(), "/late")).To(Equal(tc.outcome != "503 notrun"))
		})
	}
})
