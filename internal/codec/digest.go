package codec

import (
	"time"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// ItemsFromProto converts a list of items of the store.
func ItemsFromProto(list []*pb.Item) []item.Item {
	out := make([]item.Item, 0, len(list))
	for _, it := range list {
		out = append(out, ItemFromProto(it))
	}
	return out
}

// ItemFromProto converts one item of the store.
func ItemFromProto(it *pb.Item) item.Item {
	return item.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Tombstone: it.GetGone()}
}

// ItemToProto converts an item for the store or a peer.
func ItemToProto(it item.Item) *pb.Item {
	return &pb.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Tombstone}
}

// DigestFromProto converts a digest that a peer sent.
//
// The message holds the time left of each fact; it counts from now, so that facts expire by the clock of this entry.
func DigestFromProto(now time.Time, d *pb.Digest) digest.Digest {
	out := digest.Digest{From: d.GetFrom(), Revision: d.GetRevision(), Age: d.GetAge().AsDuration(), Brief: d.GetBrief(), Offer: d.GetOffer(),
		FactsSince: d.GetFactSince(), FactsUpto: d.GetFactUpto(), FactsAck: d.GetFactAck()}
	for _, f := range d.GetFact() {
		out.Facts = append(out.Facts, fact.Fact{
			Topic: topic.Topic(f.GetTopic()), Subject: f.GetSubject(), Value: f.GetValue(),
			Origin: f.GetFrom(), Until: now.Add(f.GetLeft().AsDuration()), Detail: f.GetDetail(), Tallies: talliesFromProto(f.GetTally()),
		})
	}
	out.Delta = delta.Delta{
		Items: ItemsFromProto(d.GetItem()), BaseRevision: d.GetBase(), Revision: d.GetUpto(), Full: d.GetFull(),
	}
	return out
}

// talliesFromProto converts the outcomes in a fact. It leaves out those that no entry sends: contradictory or negative values, and
// more calls than maxTallyCalls, each of which the canary analysis would count one by one.
func talliesFromProto(list []*pb.Tally) []tally.Tally {
	var out []tally.Tally
	for _, t := range list {
		bad := uint64(t.GetFails())+uint64(t.GetSlows()) > uint64(t.GetCalls()) || t.GetCalls() > maxTallyCalls
		if bad || len(t.GetTimes()) > tune.MaxUnjudgedTimes || t.GetTotal().AsDuration() < 0 {
			continue
		}
		in := tally.Tally{
			Upstream: t.GetUpstream(), Calls: int(t.GetCalls()), Failures: int(t.GetFails()), SlowCalls: int(t.GetSlows()), TotalTime: t.GetTotal().AsDuration(),
		}
		for _, d := range t.GetTimes() {
			in.UnjudgedTimes = append(in.UnjudgedTimes, d.AsDuration())
		}
		out = append(out, in)
	}
	return out
}

// maxTallyCalls is the highest number of calls in the outcomes of one upstream.
const maxTallyCalls = 100_000

func talliesToProto(list []tally.Tally) []*pb.Tally {
	var out []*pb.Tally
	for _, t := range list {
		o := &pb.Tally{Upstream: t.Upstream, Calls: uint32(t.Calls), Fails: uint32(t.Failures), Slows: uint32(t.SlowCalls), Total: duration(t.TotalTime)}
		for _, d := range t.UnjudgedTimes {
			o.Times = append(o.Times, duration(d))
		}
		out = append(out, o)
	}
	return out
}

// DigestToProto converts a digest for a peer; the time left of each fact counts from now.
func DigestToProto(now time.Time, d digest.Digest) *pb.Digest {
	out := &pb.Digest{
		From: d.From, Revision: d.Revision, Age: duration(d.Age),
		Base: d.Delta.BaseRevision, Upto: d.Delta.Revision, Full: d.Delta.Full,
		Brief: d.Brief, Offer: d.Offer,
		FactSince: d.FactsSince, FactUpto: d.FactsUpto, FactAck: d.FactsAck,
	}
	for _, f := range d.Facts {
		out.Fact = append(out.Fact, &pb.Fact{
			Topic: pb.Fact_Topic(f.Topic), Subject: f.Subject, Value: f.Value,
			From: f.Origin, Left: duration(f.Until.Sub(now)), Detail: f.Detail, Tally: talliesToProto(f.Tallies),
		})
	}
	for _, it := range d.Delta.Items {
		out.Item = append(out.Item, ItemToProto(it))
	}
	return out
}
