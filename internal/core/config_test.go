package core_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Nothing told when an entry had put a configuration in force, nor whether it had come from a peer.
var _ = Describe("A configuration that comes into force", func() {
	It("is logged with its revision and source, once for each change of the operators'", func() {
		co, out := brokenCore("")
		Eventually(co.Ready, "3s").Should(BeTrue())
		lines := func() int { return strings.Count(out.String(), `"msg":"config"`) }
		Eventually(lines).Should(Equal(1))
		Expect(out.String()).To(MatchRegexp(`"msg":"config","revision":7,"version":0,"rules":0,"services":1,"upstreams":0,"lag":"[^"]+","from":"store"`))
		send := func(key string, rev revno.Revision) {
			d := digest.Digest{From: "e2", Revision: rev, Delta: delta.Delta{Items: []item.Item{{Key: key, Revision: rev}}, BaseRevision: rev - 1, Revision: rev}}
			_, err := co.Submit(context.Background(), event.Event{Kind: evkind.DigestReceived, Digest: d})
			Expect(err).NotTo(HaveOccurred())
		}
		send(keys.Record("service", "t"), 8)
		Eventually(out.String).Should(MatchRegexp(`"msg":"config","revision":8,"version":0,"rules":0,"services":2,"upstreams":0,"lag":"[^"]+","from":"e2"`))
		send(keys.Record("upstream", "u"), 9)
		Eventually(co.Revision).Should(Equal(revno.Revision(9)))
		Consistently(lines, 200*time.Millisecond).Should(Equal(2))
		Expect(co.Basis().Revision).To(Equal(revno.Revision(9)))
		Expect(co.Basis().Age).To(BeNumerically(">=", 0))
	})

	// Nothing said that an entry does not keep to a limit of the operators as it is.
	It("is logged with what of it applies only in part", func() {
		co, out := brokenCore("")
		Eventually(co.Ready, "3s").Should(BeTrue())
		d := digest.Digest{From: "e2", Revision: 8, Delta: delta.Delta{Items: []item.Item{{Key: keys.Record("set", ""), Revision: 8}}, BaseRevision: 7, Revision: 8}}
		_, err := co.Submit(context.Background(), event.Event{Kind: evkind.DigestReceived, Digest: d})
		Expect(err).NotTo(HaveOccurred())
		Eventually(out.String).Should(MatchRegexp(`"level":"warn",.*"msg":"limit","key":"[^"]+","revision":8,"text":"a limit is too high"`))
	})
})
