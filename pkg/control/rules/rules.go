package rules

import (
	"net"
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
)

// Rules is an immutable table of routing rules.
type Rules struct {
	// byHost holds the rules of a host by their path prefix.
	byHost map[string]map[string]*rulrec.Rule
	size   int
}

// New returns a table of the given rules; of two with one host and path, the later stays.
func New(list []*rulrec.Rule) *Rules {
	t := &Rules{byHost: map[string]map[string]*rulrec.Rule{}}
	for _, r := range list {
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*rulrec.Rule{}
		}
		t.byHost[host][r.Path] = r
		t.size++
	}
	return t
}

// Len returns the number of rules.
func (t *Rules) Len() int { return t.size }

// Find returns the rule with the longest prefix of a path, or nil; host may carry a port.
func (t *Rules) Find(host, path string) *rulrec.Rule {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	paths := t.byHost[strings.ToLower(host)]
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
