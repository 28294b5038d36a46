package cmds_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// oldCommit and newCommit are the IDs of commits.
const (
	oldCommit = "0123456789abcdef0123456789abcdef01234567"
	newCommit = "fedcba9876543210fedcba9876543210fedcba98"
)

// stamped returns the description of a build of a commit from a clean tree, with a digest of its settings.
func stamped(commit, settings string) *pb.Build {
	return &pb.Build{Revision: commit, Tree: "clean", Go: "go1.26.8", Arch: "linux/arm64", Processors: 8, Heap: 170 << 20, Files: 1024, Settings: settings}
}

// serveStatus serves a status as an entry does, and returns the address.
func serveStatus(s *pb.StatusResponse) string {
	p := peers.New(clock.Wall(), &http.Client{})
	p.LocalStatus = func(context.Context) (*pb.StatusResponse, error) { return s, nil }
	mux := http.NewServeMux()
	mux.Handle(p.Handler())
	srv := httptest.NewServer(mux)
	DeferCleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

var _ = Describe("status", func() {
	type entry struct {
		revision int64
		build    *pb.Build
	}
	for _, tc := range []struct {
		name    string
		entries []entry
		// rows holds, for each entry, the columns after those of earlier releases.
		rows []string
		// lines are those that end the output.
		lines string
	}{
		{
			"entries of one build",
			[]entry{{7, stamped(oldCommit, "a1")}, {7, stamped(oldCommit, "a1")}},
			[]string{"0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -"},
			"build " + oldCommit + ", tree clean, go1.26.8: entries 2\nsettings a1: entries 2\nrevision 7: entries 2\n",
		},
		{
			"one entry with another build, other settings and another revision",
			[]entry{{7, stamped(oldCommit, "a1")}, {6, stamped(newCommit, "b2")}, {7, stamped(oldCommit, "a1")}},
			[]string{"0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -", "fedcba987654 clean go1.26.8 linux/arm64 8 170MiB 1024 b2 build,settings,revision", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -"},
			"build " + oldCommit + ", tree clean, go1.26.8: entries 2\nbuild " + newCommit + ", tree clean, go1.26.8: entries 1\nsettings a1: entries 2\nsettings b2: entries 1\nrevision 7: entries 2\nrevision 6: entries 1\n",
		},
		{
			"one entry behind",
			[]entry{{7, stamped(oldCommit, "a1")}, {6, stamped(oldCommit, "a1")}, {7, stamped(oldCommit, "a1")}},
			[]string{"0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 revision", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -"},
			"revision 7: entries 2\nrevision 6: entries 1\n",
		},
		{
			"two builds on as many entries each",
			[]entry{{7, stamped(oldCommit, "a1")}, {7, stamped(newCommit, "a1")}},
			[]string{"0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 build", "fedcba987654 clean go1.26.8 linux/arm64 8 170MiB 1024 a1 build"},
			"settings a1: entries 2\nrevision 7: entries 2\n",
		},
		{
			"an entry of a release that does not name its build",
			[]entry{{7, nil}, {7, stamped(oldCommit, "a1")}, {7, stamped(oldCommit, "a1")}},
			[]string{"unknown unknown unknown unknown unknown unknown unknown unknown build,settings", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -", "0123456789ab clean go1.26.8 linux/arm64 8 170MiB 1024 a1 -"},
			"settings a1: entries 2\nsettings unknown: entries 1\nrevision 7: entries 3\n",
		},
		{
			"builds without stamps, and no limit on memory",
			[]entry{{7, &pb.Build{Revision: "unknown", Tree: "unknown", Go: "go1.26.8", Arch: "linux/arm64", Processors: 8, Files: 1024, Settings: "a1"}}},
			[]string{"unknown unknown go1.26.8 linux/arm64 8 none 1024 a1 -"},
			"build unknown, tree unknown, go1.26.8: entries 1\nsettings a1: entries 1\nrevision 7: entries 1\n",
		},
	} {
		It("shows builds and revisions and marks those that differ: "+tc.name, func() {
			args := []string{"status", "--peer", "127.0.0.1:1"}
			for i, e := range tc.entries {
				args = append(args, "--peer", serveStatus(&pb.StatusResponse{
					Name: "entry-" + string(rune('a'+i)), Domain: "zone-1", Ready: true, Store: true, Revision: e.revision, Members: 3, Duty: []string{"x"}, Build: e.build,
					Move: []*pb.MoveStatus{{Name: "m", Phase: "moving", Share: 20, Reason: "on time"}},
				}))
			}
			code, out, errs := run(args...)
			Expect(code).To(BeZero(), errs)
			lines := strings.Split(out, "\n")
			columns := strings.Fields(lines[0])
			Expect(columns[:8]).To(Equal([]string{"ENTRY", "DOMAIN", "READY", "REVISION", "SINCE", "STORE", "MEMBERS", "DUTIES"}), "those of earlier releases")
			Expect(columns[8:]).To(Equal([]string{"BUILD", "TREE", "GO", "ARCH", "PROCESSORS", "MEMORY", "FILES", "SETTINGS", "DIFFERS"}))
			Expect(lines[1]).To(HavePrefix("127.0.0.1:1 (no answer)"))
			Expect(lines[1]).To(HaveSuffix(" -"), "an entry that does not answer is not compared")
			for i, want := range tc.rows {
				fields := strings.Fields(lines[i+2])
				Expect(fields[:3]).To(Equal([]string{"entry-" + string(rune('a'+i)), "zone-1", "true"}))
				Expect(strings.Join(fields[8:], " ")).To(Equal(want))
				Expect(lines).To(ContainElement("entry-" + string(rune('a'+i)) + ": move m is moving at 2.0%: on time"))
			}
			Expect(out).To(HaveSuffix(tc.lines))
		})
	}
})
