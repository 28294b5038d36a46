package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/split"
)

// An absolute URI without a path names the root. It matched no rule and was ended with 404, while the upstream would have got "/".
// Paths that net/url escapes otherwise than the caller matched no rule either, or reached the upstream changed.
var _ = Describe("A request that the configuration allows", func() {
	to := []split.Split{{Service: "s", Weight: 1}}
	table := rules.New([]*rulrec.Rule{
		{Name: "x", Host: "a.example", Path: "/x/", Splits: to},
		{Name: "escaped", Host: "a.example", Path: "/e%2F/", Splits: to},
		{Name: "unescaped", Host: "a.example", Path: "/{ü}/", Splits: to},
		{Name: "root", Host: "b.example", Path: "/", Splits: append(to, split.Split{Service: "none"})},
	})
	const a, b = "Host: a.example\r\n", "Host: b.example\r\n"
	for _, tc := range []struct {
		name, raw string
		// path is what the upstream gets.
		path string
	}{
		{"with a port and upper case in the host", "GET /x/a HTTP/1.1\r\nHost: A.Example:8641\r\n\r\n", "/x/a"},
		{"for the prefix itself", "GET /x/ HTTP/1.1\r\n" + a + "\r\n", "/x/"},
		{"with slashes in the query", "GET /x/?q=/../;%zz HTTP/1.1\r\n" + a + "\r\n", "/x/?q=/../;%zz"},
		{"with escapes in the path", "GET /x/a%2Fb%20c HTTP/1.1\r\n" + a + "\r\n", "/x/a%2Fb%20c"},
		{"with escapes in the prefix", "GET /e%2F/a HTTP/1.1\r\n" + a + "\r\n", "/e%2F/a"},
		{"with characters in the prefix that are not escaped", "GET /{ü}/a%2Fb HTTP/1.1\r\n" + a + "\r\n", "/{ü}/a%2Fb"},
		{"with characters in the path that are not escaped", "GET /x/|a%2Fb HTTP/1.1\r\n" + a + "\r\n", "/x/|a%2Fb"},
		{"with an empty query", "GET /x/a? HTTP/1.1\r\n" + a + "\r\n", "/x/a?"},
		{"with two slashes at the start and an empty query", "GET //c/a? HTTP/1.1\r\n" + b + "\r\n", "//c/a?"},
		{"with dots and empty segments", "GET /x//../x/. HTTP/1.1\r\n" + a + "\r\n", "/x//../x/."},
		{"with two slashes at the start", "GET //c/a HTTP/1.1\r\n" + b + "\r\n", "//c/a"},
		{"with an absolute URI", "GET http://A.example:80/x/a?b HTTP/1.1\r\n" + b + "\r\n", "/x/a?b"},
		{"with an absolute URI without a path", "GET http://b.example HTTP/1.1\r\n" + b + "\r\n", "/"},
		{"with an absolute URI without a path, but with a query", "GET http://b.example?q HTTP/1.1\r\n" + b + "\r\n", "/?q"},
		{"with OPTIONS", "OPTIONS /x/a HTTP/1.1\r\n" + a + "\r\n", "/x/a"},
		{"with DELETE and a body", "DELETE /x/a HTTP/1.1\r\n" + a + "Content-Length: 1\r\n\r\nx", "/x/a"},
		{"with a method of its own", "PROPFIND /x/a HTTP/1.1\r\n" + a + "\r\n", "/x/a"},
		{"with the length twice", "POST /x/a HTTP/1.1\r\n" + a + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "/x/a"},
		{"with extensions of chunks", "POST /x/a HTTP/1.1\r\n" + a + "Transfer-Encoding: Chunked\r\n\r\n1;a=\"b\"\r\nx\r\n00\r\n\r\n", "/x/a"},
		{"with a trailer that is not announced", "POST /x/a HTTP/1.1\r\n" + a + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n", "/x/a"},
		{"that offers HTTP/2", "GET /x/a HTTP/1.1\r\n" + a + "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n", "/x/a"},
		{"with line feeds alone", "GET /x/a HTTP/1.1\nHost: a.example\n\n", "/x/a"},
		{"with unusual fields", "GET /x/a HTTP/1.1\r\n" + a + "A!#$%&'*+.^_`|~: \xe9\t\r\nB:\r\n\r\n", "/x/a"},
	} {
		It("is served "+tc.name, func() {
			srv := startEntry(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Path", r.RequestURI) })
			srv.Config.Handler.(*proxy.Handler).Rule = func(host, path string) (*rulrec.Rule, bool) { return table.Find(host, path), true }
			c, err := net.Dial("tcp", serveSplit(srv))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.WriteString(c, tc.raw)
			Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusOK))
			Expect(res.Header.Get("X-Path")).To(Equal(tc.path))
		})
	}
})
