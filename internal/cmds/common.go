package cmds

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/balsamvale/balsamvale/internal/build"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
)

// trait is a property that the entries of a fleet have in common when no change is under way.
type trait struct {
	name  string
	value func(*pb.StatusResponse) string
}

// traits lists the properties that entries are compared by. The architecture is not among them, as a fleet may have hosts of several.
var traits = []trait{
	{"build", func(s *pb.StatusResponse) string {
		b := s.GetBuild()
		return fmt.Sprintf("%s, tree %s, %s", textOr(b.GetRevision()), textOr(b.GetTree()), textOr(b.GetGo()))
	}},
	{"settings", func(s *pb.StatusResponse) string { return textOr(s.GetBuild().GetSettings()) }},
	{"revision", func(s *pb.StatusResponse) string { return strconv.FormatInt(s.GetRevision(), 10) }},
}

// common holds how many entries of a fleet have each value of each trait.
type common struct {
	counts []map[string]int
}

// newCommon counts the traits of the entries that answered.
func newCommon(statuses []*pb.StatusResponse) *common {
	c := &common{}
	for _, t := range traits {
		n := map[string]int{}
		for _, s := range statuses {
			if answered(s) {
				n[t.value(s)]++
			}
		}
		c.counts = append(c.counts, n)
	}
	return c
}

// answered reports whether a status is that of an entry: all have a failure domain.
func answered(s *pb.StatusResponse) bool { return s.GetDomain() != "" }

// differs returns the names of the traits in which an entry differs from the most common value, or "-". If several values are the
// most common, all entries differ.
func (c *common) differs(s *pb.StatusResponse) string {
	var names []string
	for i, t := range traits {
		if answered(s) && !c.leads(i, t.value(s)) {
			names = append(names, t.name)
		}
	}
	return cmp.Or(strings.Join(names, ","), "-")
}

// leads reports whether more entries have the value of trait i than have any other.
func (c *common) leads(i int, value string) bool {
	for other, n := range c.counts[i] {
		if other != value && n >= c.counts[i][value] {
			return false
		}
	}
	return true
}

// print prints the values of the traits with the number of their entries, the most common first.
func (c *common) print(w io.Writer) {
	for i, t := range traits {
		n := c.counts[i]
		byCount := func(x, y string) int { return cmp.Or(cmp.Compare(n[y], n[x]), cmp.Compare(x, y)) }
		for _, v := range slices.SortedFunc(maps.Keys(n), byCount) {
			fmt.Fprintf(w, "%s %s: entries %d\n", t.name, v, n[v])
		}
	}
}

// shownDigits is the length after which the table cuts the ID of a commit.
const shownDigits = 12

// buildColumns returns the columns of the table that describe a build, separated by tabs.
func buildColumns(b *pb.Build) string {
	rev := textOr(b.GetRevision())
	columns := []string{
		rev[:min(len(rev), shownDigits)], textOr(b.GetTree()), textOr(b.GetGo()), textOr(b.GetArch()), numberOr(uint64(b.GetProcessors())),
	}
	memory := build.Unknown
	if b != nil {
		memory = "none"
		if n := b.GetHeap(); n > 0 {
			memory = fmt.Sprintf("%dMiB", n>>20)
		}
	}
	return strings.Join(append(columns, memory, numberOr(b.GetFiles()), textOr(b.GetSettings())), "\t")
}

// textOr returns a text from an entry, or build.Unknown if it is empty.
func textOr(s string) string { return cmp.Or(s, build.Unknown) }

// numberOr returns a number from an entry as text, or build.Unknown for 0.
func numberOr(n uint64) string {
	if n == 0 {
		return build.Unknown
	}
	return strconv.FormatUint(n, 10)
}
