package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/daemon"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// address returns the address on which a test server listens.
func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// freeAddr returns a local address with a port that was free a moment ago.
func freeAddr() netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// daemonRunner runs a daemon and sends its result to done; its run method is a goroutine.
type daemonRunner struct {
	daemon *daemon.Daemon
	stop   context.Context
	done   chan error
}

func (r *daemonRunner) run() { r.done <- r.daemon.Run(r.stop, nil) }

// slowUpload is a request body of which a part of 10 bytes arrives every 10 ms, and which begins the planned stop midway.
type slowUpload struct {
	// parts is the number of parts still to come.
	parts int
	// partsAfterStop is the value of parts at which stop is called.
	partsAfterStop int
	stop           func()
}

func (u *slowUpload) Read(p []byte) (int, error) {
	if u.parts == 0 {
		return 0, io.EOF
	}
	if u.parts--; u.parts == u.partsAfterStop {
		u.stop()
	}
	time.Sleep(10 * time.Millisecond)
	return copy(p, "0123456789"), nil
}

var _ = Describe("A planned stop", func() {
	for _, tc := range []struct {
		name  string
		parts int
	}{{"during the shutdown delay", 16}, {"3s after its start, when the listener is closed", 300}} {
		It("answers an upload that ends "+tc.name, func() {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, strings.Repeat("x", int(n)))
			}))
			DeferCleanup(up.Close)
			kv := kvsim.New(clock.Wall(), 1)
			mux := http.NewServeMux()
			mux.Handle(rpc.NewStoreHandler(kv))
			kvServer := httptest.NewServer(mux)
			DeferCleanup(kvServer.Close)
			o := &option.Options{
				Name: "e", Domain: "zone-1", Front: freeAddr(), Peer: freeAddr(), Admin: freeAddr(),
				Store: []netip.AddrPort{address(kvServer)}, MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 30, ReadHeaderTimeout: time.Second, ShutdownDelay: 100 * time.Millisecond,
			}
			putRecords(o.Store, "[[domain]]\nschema = 1\nname = \"zone-1\"\n[[service]]\nschema = 2\nname = \"s\"\nslots = 4\nconns = 10\nwarm = \"0s\"\n[[service.route]]\npath = \"/up\"\nclass = \"bulk\"\n[[upstream]]\nschema = 1\nname = \"u\"\nservice = \"s\"\ndomain = \"zone-1\"\nversion = \"v1\"\naddr = \""+address(up).String()+"\"\n")
			stop, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			r := &daemonRunner{daemon.New(o, clock.Wall(), logs.New(io.Discard, clock.Wall(), zapcore.ErrorLevel, 1), 1, store.New(&http.Client{}, o.Store).Seams()), stop, make(chan error, 1)}
			go r.run()
			ready := func() int {
				res, err := http.Get("http://" + o.Admin.String() + "/ready")
				if err != nil {
					return 0
				}
				defer func() { _ = res.Body.Close() }()
				return res.StatusCode
			}
			Eventually(ready, "10s", "20ms").Should(Equal(http.StatusOK))
			res, err := http.Post("http://"+o.Front.String()+"/s/up", "x/y", &slowUpload{tc.parts, tc.parts / 2, cancel})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			data, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(HaveLen(10 * tc.parts))
			Eventually(r.done, "10s").Should(Receive(BeNil()))
		})
	}
})

// putRecords creates the records of a TOML text in the store.
func putRecords(addrs []netip.AddrPort, text string) {
	records, err := codec.ReadRecords("r", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	c := store.New(http.DefaultClient, addrs)
	for _, r := range records {
		data, err := proto.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		done, _, err := c.CompareAndSwap(context.Background(), item.Item{Key: keys.Record(r.GetKind(), r.GetName()), Value: data}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
	}
}
