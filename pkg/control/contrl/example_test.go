package contrl_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// A control is driven without I/O: times and events go in, and effects come out.
func Example() {
	decode := func(it item.Item) (value.Value, error) {
		if string(it.Value) != "lookup" {
			return value.Value{}, errors.New("unknown value")
		}
		return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: "lookup", Slots: 4}}}, nil
	}
	self := member.Member{Name: "entry-1", Domain: "zone-1", Peer: netip.MustParseAddrPort("10.0.0.1:8081"), Incarnation: 1}
	c := contrl.New(self, rand.New(rand.NewPCG(1, 1)), decode)
	now := time.Unix(1000, 0)
	for _, e := range c.Step(now, event.Event{Kind: evkind.Tick}) {
		if e.Action != action.CallStore || e.Request.Op != kvop.List {
			continue
		}
		listed := kvresp.Response{ID: e.Request.ID, Applied: true, Revision: 7, Items: []item.Item{
			{Key: "sys/rec/service/lookup", Value: []byte("lookup"), Revision: 5},
		}}
		for _, f := range c.Step(now.Add(time.Millisecond), event.Event{Kind: evkind.StoreResponse, Response: listed}) {
			if f.Action == action.PublishSnapshot {
				fmt.Println("in force:", f.Snapshot.Revision, f.Changed)
			}
		}
	}
	// Output: in force: 5 [lookup]
}
