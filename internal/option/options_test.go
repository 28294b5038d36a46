package option_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
)

// validSettings is a settings file without errors; the tests replace parts of it.
const validSettings = `schema = 1
name = "entry-1"
domain = "zone-1"
front = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
store = ["127.0.0.1:7000"]
[log]
level = "debug"
[stop]
lag = "3s"
`

var _ = Describe("Parse", func() {
	It("reads settings and fills in defaults", func() {
		o, err := option.Parse("f.toml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Front.Port()).To(BeEquivalentTo(8080))
		Expect(o.ShutdownDelay).To(Equal(3 * time.Second))
		Expect(o.ReadHeaderTimeout).To(Equal(10 * time.Second))
		Expect(o.MaxHeaderBytes).To(Equal(65536))
	})

	for _, tc := range []struct{ name, old, replacement, want string }{
		{"an unknown key", `name = "entry-1"`, "nmae = \"e\"", "f.toml:2: nmae: unknown key"},
		{"an unknown key in a table", `level = "debug"`, "levle = \"debug\"", "f.toml:9: log.levle: unknown key"},
		{"a missing key", `peer = "127.0.0.1:8081"`, "", "peer: must be set"},
		{"a bad address", `"127.0.0.1:8080"`, `"localhost:8080"`, "f.toml:4: front: \"localhost:8080\" is not an address"},
		{"a port of 0", `"127.0.0.1:8080"`, `"127.0.0.1:0"`, "f.toml:4: front:"},
		{"a duration out of range", `"3s"`, `"1h"`, "f.toml:11: stop.lag: 1h0m0s is out of range; allowed: 0s to 5m0s"},
		{"a duration without a unit", `"3s"`, `3`, "f.toml:11: stop.lag: must be a duration"},
		{"an unknown enum value", `"debug"`, `"loud"`, "f.toml:9: log.level: loud is not allowed; allowed: info, debug, warn, error"},
		{"a bad name", `"entry-1"`, `"Entry 1"`, "f.toml:2: name: \"Entry 1\" is not a name"},
		{"an unknown schema version", "schema = 1", "schema = 9", "f.toml:1: schema: 9 is out of range; allowed: 1 to 1"},
		{"a wrong type", `["127.0.0.1:7000"]`, `"127.0.0.1:7000"`, "f.toml:7: store: must be an array"},
		{"a bad element", `["127.0.0.1:7000"]`, `["127.0.0.1:7000", "x"]`, "store[1]: \"x\" is not an address"},
		{"an empty list", `["127.0.0.1:7000"]`, `[]`, "store: must have at least one element"},
		{"broken TOML", `[log]`, `[log`, "f.toml:"},
	} {
		It("rejects "+tc.name, func() {
			_, err := option.Parse("f.toml", []byte(strings.Replace(validSettings, tc.old, tc.replacement, 1)))
			Expect(err).To(MatchError(tomlpb.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(tc.want))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
		})
	}
})

// Operators compare the digests of a fleet, whose hosts have names and addresses of their own.
var _ = Describe("The digest of settings", func() {
	parse := func(old, replacement string) *option.Options {
		text := strings.Replace(validSettings, old, replacement, 1)
		Expect(text).NotTo(Equal(validSettings))
		o, err := option.Parse("f.toml", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		return o
	}
	digest := func() string {
		o, err := option.Parse("f.toml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		return o.Digest()
	}

	for _, tc := range []struct{ name, old, replacement string }{
		{"another name", "entry-1", "entry-2"},
		{"another failure domain", "zone-1", "zone-2"},
		{"another address for callers", "127.0.0.1:8080", "10.0.0.1:80"},
		{"other stores", `["127.0.0.1:7000"]`, `["10.0.0.1:7000", "10.0.0.2:7000"]`},
		{"a default that is written out", "[log]", "[bounds]\nheader = 65536\n[log]"},
		{"other white space", `lag = "3s"`, `lag   =   "3000ms"  # as the balancer`},
	} {
		It("stays with "+tc.name, func() { Expect(parse(tc.old, tc.replacement).Digest()).To(Equal(digest())) })
	}

	// hostFields are the fields that differ by host.
	hostFields := []string{"Name", "Domain", "Front", "Peer", "Admin", "Store", "Seeds"}
	It("changes with each other field, and with further settings", func() {
		seen := map[string]string{digest(): "no field"}
		for i := range reflect.TypeFor[option.Options]().NumField() {
			o, err := option.Parse("f.toml", []byte(validSettings))
			Expect(err).NotTo(HaveOccurred())
			name := reflect.TypeFor[option.Options]().Field(i).Name
			if slices.Contains(hostFields, name) {
				continue
			}
			f := reflect.ValueOf(o).Elem().Field(i)
			if f.CanFloat() {
				f.SetFloat(f.Float() + 1)
			} else {
				f.SetInt(f.Int() + 1)
			}
			Expect(seen).NotTo(HaveKey(o.Digest()), name)
			seen[o.Digest()] = name
		}
		o, err := option.Parse("f.toml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).NotTo(HaveKey(o.Digest("budget.retry=17")))
		Expect(o.Digest()).To(MatchRegexp("^[0-9a-f]{12}$"))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := option.Parse("f.toml", data)
		if err == nil && (o.Name == "" || !o.Front.IsValid() || len(o.Store) == 0) {
			t.Errorf("accepted settings without a name, a front address or a store address: %q", data)
		}
	})
}
