package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/option"
)

// Guards against callers that wait in the queue of the listener, or a store that is not reached, while idle connections to upstreams
// hold the descriptors.
var _ = Describe("An entry whose descriptors are used up by idle connections to upstreams", func() {
	It("serves the next caller", func() {
		const calls = 20
		var together sync.WaitGroup
		together.Add(calls)
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/together" {
				together.Done()
				together.Wait()
			}
			_, _ = io.WriteString(w, "x")
		}))
		DeferCleanup(up.Close)
		o := &option.Options{ShutdownDelay: time.Millisecond, DrainTimeout: time.Second, HandoverTimeout: time.Millisecond}
		stop, done := startSizedDaemon(address(up), 2*calls, 2*calls, o, io.Discard)
		DeferCleanup(func() {
			stop()
			Eventually(done, "5s").Should(Receive())
		})
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		var callers sync.WaitGroup
		for range calls {
			callers.Go(func() {
				res, err := client.Get("http://" + o.Front.String() + "/s/together")
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			})
		}
		callers.Wait()
		Eventually(func() string {
			res, err := http.Get("http://" + o.Admin.String() + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			text, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}).Should(ContainSubstring("balsamvale_caller_connections 0\n"))

		useUpDescriptors()
		c, err := net.Dial("tcp", o.Front.String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		begin := time.Now()
		Expect(c.SetDeadline(begin.Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, "GET /s/alone HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.StatusCode).To(Equal(http.StatusOK))
	})
})

// useUpDescriptors leaves the process one descriptor until the end of the spec.
func useUpDescriptors() {
	var before syscall.Rlimit
	Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before)).To(Succeed())
	entries, err := os.ReadDir("/proc/self/fd")
	Expect(err).NotTo(HaveOccurred())
	limited := syscall.Rlimit{Cur: uint64(len(entries) + 50), Max: before.Max}
	var held []*os.File
	DeferCleanup(func() {
		Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)).To(Succeed())
		for _, f := range held {
			_ = f.Close()
		}
	})
	Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limited)).To(Succeed())
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		held = append(held, f)
	}
	Expect(held).NotTo(BeEmpty())
	last := len(held) - 1
	Expect(held[last].Close()).To(Succeed())
	held = held[:last]
}
