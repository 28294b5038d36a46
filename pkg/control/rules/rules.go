package rules

import (
	"net"
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
)

// Rules is an immutable table of routing rules.
type Rules struct {
	// byHost holds the rules by host in lower case, and then by path prefix.
	byHost map[string]map[string]*rulrec.Rule
	size   int
}

// New returns a table of the given rules. Of several rules with the same host and path, the last one applies. Rules without a host or
// path match no call, unless they are defective.
func New(list []*rulrec.Rule) *Rules {
	t := &Rules{byHost: map[string]map[string]*rulrec.Rule{}}
	for _, r := range list {
		if r.Defect == "" && (r.Host == "" || r.Path == "") {
			t.size++
			continue
		}
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*rulrec.Rule{}
		}
		t.byHost[host][r.Path] = r
		t.size++
	}
	return t
}

// Len returns the number of rules that were passed to New.
func (t *Rules) Len() int { return t.size }

// Find returns the rule of the host with the longest prefix that matches the path, else a defective rule that may be about the call,
// or nil if there is none.
//
// The host may include a port and is compared without regard to case. The rules of a host with its port come before those of
// the host. Prefixes end with a slash, so they match whole path segments only.
func (t *Rules) Find(host, path string) *rulrec.Rule {
	hosts := []string{strings.ToLower(host)}
	if name, _, err := net.SplitHostPort(hosts[0]); err == nil {
		hosts = append(hosts, name)
	}
	// Under "" are the defective rules without a host.
	hosts = append(hosts, "")
	for _, h := range hosts {
		if r := longest(t.byHost[h], path); r != nil {
			return r
		}
	}
	for _, h := range hosts {
		if r := t.byHost[h][""]; r != nil {
			return r
		}
	}
	return nil
}

// longest returns the rule with the longest prefix that matches the path, or nil if there is none.
func longest(paths map[string]*rulrec.Rule, path string) *rulrec.Rule {
	if paths == nil {
		return nil
	}
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := paths[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
	return nil
}
