package daemon_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/daemon"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// startFleet starts entries that are spread over failure domains in turn, and returns the addresses of their metrics once all of
// them are members.
func startFleet(entries, domains int) []netip.AddrPort {
	kv := kvsim.New(clock.Wall(), 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(kv))
	kvServer := httptest.NewServer(mux)
	DeferCleanup(kvServer.Close)
	addrs := []netip.AddrPort{address(kvServer)}
	records := "[[service]]\nschema = 2\nname = \"s\"\nslots = 4\nconns = 10\nwarm = \"0s\"\n"
	for i := range domains {
		records += fmt.Sprintf("[[domain]]\nschema = 1\nname = \"zone-%d\"\n", i)
	}
	putRecords(addrs, records)
	log := logs.New(io.Discard, clock.Wall(), zapcore.InfoLevel, 1)
	DeferCleanup(log.Close)
	var admins []netip.AddrPort
	for i := range entries {
		o := &option.Options{
			Name: fmt.Sprintf("entry-%02d", i), Domain: fmt.Sprint("zone-", i%domains), Front: freeAddr(), Peer: freeAddr(), Admin: freeAddr(),
			Store: addrs, MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: time.Second,
		}
		admins = append(admins, o.Admin)
		runDaemon(daemon.New(o, clock.Wall(), log, uint64(i+1), store.New(clock.Wall(), &http.Client{}, addrs).Seams()))
	}
	for _, admin := range admins {
		Eventually(func() int {
			res, err := http.Get("http://" + admin.String() + "/ready")
			if err != nil {
				return 0
			}
			defer func() { _ = res.Body.Close() }()
			return res.StatusCode
		}, "20s", "50ms").Should(Equal(http.StatusOK))
	}
	return admins
}

// peerBytes adds what the entries count as exchanged with peers, by topic, direction and domain.
func peerBytes(admins []netip.AddrPort) map[string]float64 {
	sum := map[string]float64{}
	for _, admin := range admins {
		res, err := http.Get("http://" + admin.String() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		for lines := bufio.NewScanner(res.Body); lines.Scan(); {
			name, value, _ := strings.Cut(lines.Text(), " ")
			if labels, ok := strings.CutPrefix(name, "balsamvale_peer_bytes_total"); ok {
				n, err := strconv.ParseFloat(value, 64)
				Expect(err).NotTo(HaveOccurred())
				sum[labels] += n
			}
		}
		Expect(res.Body.Close()).To(Succeed())
	}
	return sum
}

// fleetSize returns the number of entries of the fleet. A larger one is for measurements.
func fleetSize() int {
	n, err := strconv.Atoi(cmp.Or(os.Getenv("BALSAMVALE_TEST_ENTRIES"), "24"))
	Expect(err).NotTo(HaveOccurred())
	return n
}

// Load pattern: a fleet in four failure domains without calls and changes. What its entries send to each other all day must cost
// little, most of all between failure domains.
var _ = Describe("The exchange of a quiet fleet", func() {
	It("takes few bytes of each entry", func() {
		const settle, measured = 6 * time.Second, 6 * time.Second
		// maxBytes and maxRemote are in bytes a second for each entry, sent and received.
		const maxBytes, maxRemote = 1500, 700
		entries := fleetSize()
		admins := startFleet(entries, 4)
		time.Sleep(settle)
		before, began := peerBytes(admins), time.Now()
		time.Sleep(measured)
		after, took := peerBytes(admins), time.Since(began)
		all, remote := 0.0, 0.0
		for _, labels := range slices.Sorted(maps.Keys(after)) {
			rate := (after[labels] - before[labels]) / took.Seconds() / float64(entries)
			if all += rate; strings.Contains(labels, `domain="remote"`) {
				remote += rate
			}
			if rate > 0 {
				_, _ = fmt.Fprintf(GinkgoWriter, "%s: %.0f bytes a second for each of %d entries\n", labels, rate, entries)
			}
		}
		_, _ = fmt.Fprintf(GinkgoWriter, "all: %.0f, between failure domains: %.0f\n", all, remote)
		Expect(all).To(And(BeNumerically(">", 0), BeNumerically("<", maxBytes)))
		Expect(remote).To(BeNumerically("<", maxRemote))
	})
})
