package codec

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// ItemsFromStore converts a list of items in a response of the store, whose revisions are all of its era.
func ItemsFromStore(era int64, list []*pb.Item) []item.Item {
	out := make([]item.Item, 0, len(list))
	for _, it := range list {
		out = append(out, ItemFromStore(era, it))
	}
	return out
}

// ItemFromStore converts one item in a response of the store; a missing one gives revision number 0.
func ItemFromStore(era int64, it *pb.Item) item.Item {
	return item.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: revno.New(era, it.GetRevision()), Tombstone: it.GetGone()}
}

// ItemsFromProto converts a list of items that a peer sent.
func ItemsFromProto(list []*pb.Item) []item.Item {
	out := make([]item.Item, 0, len(list))
	for _, it := range list {
		out = append(out, ItemFromProto(it))
	}
	return out
}

// ItemFromProto converts one item that a peer sent.
func ItemFromProto(it *pb.Item) item.Item {
	return item.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: revno.New(it.GetEra(), it.GetRevision()), Tombstone: it.GetGone()}
}

// ItemToProto converts an item for a peer.
func ItemToProto(it item.Item) *pb.Item {
	return &pb.Item{Key: it.Key, Value: it.Value, Revision: it.Revision.Number(), Era: it.Revision.Era(), Gone: it.Tombstone}
}

// DigestFromProto converts a digest that a peer sent.
//
// The message holds the age of the sender's replica and the time left of each fact; both count from now, so that they are by the clock of
// this entry.
func DigestFromProto(now time.Time, d *pb.Digest) digest.Digest {
	age := ageFromProto(d.GetAge())
	out := digest.Digest{From: d.GetFrom(), Revision: revno.New(d.GetEra(), d.GetRevision()), Matched: proof.FromAge(now, age), InvalidAge: age < 0, Brief: d.GetBrief(), Offer: d.GetOffer(), WantsKept: d.GetWantsKept(), NoEras: !d.GetEras(),
		FactsSince: d.GetFactSince(), FactsUpto: d.GetFactUpto(), FactsAck: d.GetFactAck()}
	if len(d.GetKept()) > 0 {
		out.Kept = ItemsFromProto(d.GetKept())
	}
	if len(d.GetKeptLeft()) == len(d.GetKept()) {
		for _, left := range d.GetKeptLeft() {
			out.KeptLeft = append(out.KeptLeft, bounded(left.AsDuration(), tune.RestoreMemory))
		}
	}
	out.KeptFor = bounded(d.GetKeptFor().AsDuration(), tune.RestoreMemory)
	for _, f := range d.GetFact() {
		out.Facts = append(out.Facts, fact.Fact{
			Topic: topic.Topic(f.GetTopic()), Subject: f.GetSubject(), Value: f.GetValue(),
			Origin: f.GetFrom(), Until: now.Add(bounded(f.GetLeft().AsDuration(), maxFactLife)), Detail: f.GetDetail(), Tallies: talliesFromProto(f.GetTally()),
		})
	}
	out.Delta = delta.Delta{
		Items: ItemsFromProto(d.GetItem()), BaseRevision: revno.New(d.GetBaseEra(), d.GetBase()),
		Revision: revno.New(d.GetUptoEra(), d.GetUpto()), Full: d.GetFull(),
	}
	return out
}

// bounded returns a time left that a peer sends, cut to the longest that an entry sends, and to 0 if it is negative.
func bounded(left, longest time.Duration) time.Duration { return min(max(0, left), longest) }

// maxFactLife is the longest time for which an entry sends a fact.
const maxFactLife = tune.RollbackTTL

// talliesFromProto converts the outcomes in a fact. It leaves out those that no entry sends: contradictory or negative values, times
// above maxTallyTime, whose sums could overflow, and more calls than maxTallyCalls, each of which the canary analysis would count one
// by one.
func talliesFromProto(list []*pb.Tally) []tally.Tally {
	var out []tally.Tally
	for _, t := range list {
		bad := uint64(t.GetFails())+uint64(t.GetSlows()) > uint64(t.GetCalls()) || t.GetCalls() > maxTallyCalls
		total := t.GetTotal().AsDuration()
		if bad || len(t.GetTimes()) > tune.MaxUnjudgedTimes || total < 0 || total > time.Duration(t.GetCalls())*maxTallyTime || slices.ContainsFunc(t.GetTimes(), isNoTallyTime) {
			continue
		}
		in := tally.Tally{
			Upstream: t.GetUpstream(), Calls: int(t.GetCalls()), Failures: int(t.GetFails()), SlowCalls: int(t.GetSlows()), TotalTime: total,
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

// maxTallyTime is the longest response time in the outcomes of one upstream.
const maxTallyTime = 24 * time.Hour

// isNoTallyTime reports whether no call of an entry has a response time.
func isNoTallyTime(d *durationpb.Duration) bool {
	return d.AsDuration() < 0 || d.AsDuration() > maxTallyTime
}

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

// ageFromProto returns the age of a peer's replica, which is tune.MaxProofAge if the peer gives none.
func ageFromProto(age *durationpb.Duration) time.Duration {
	if age == nil {
		return tune.MaxProofAge
	}
	return age.AsDuration()
}

// ageToProto returns the age of a replica for a peer. Without a proof it is tune.MaxProofAge, since entries of older builds take a
// missing age for 0.
func ageToProto(now time.Time, matched proof.Proof) *durationpb.Duration {
	age, known := matched.Age(now)
	if !known {
		age = tune.MaxProofAge
	}
	return duration(min(max(0, age), tune.MaxProofAge))
}

// DigestToProto converts a digest for a peer; the age of the replica and the time left of each fact count from now.
func DigestToProto(now time.Time, d digest.Digest) *pb.Digest {
	out := &pb.Digest{
		From: d.From, Revision: d.Revision.Number(), Era: d.Revision.Era(), Age: ageToProto(now, d.Matched),
		Base: d.Delta.BaseRevision.Number(), BaseEra: d.Delta.BaseRevision.Era(),
		Upto: d.Delta.Revision.Number(), UptoEra: d.Delta.Revision.Era(), Full: d.Delta.Full,
		Brief: d.Brief, Offer: d.Offer, WantsKept: d.WantsKept, Eras: !d.NoEras,
		FactSince: d.FactsSince, FactUpto: d.FactsUpto, FactAck: d.FactsAck,
	}
	for _, it := range d.Kept {
		out.Kept = append(out.Kept, ItemToProto(it))
	}
	for _, left := range d.KeptLeft {
		out.KeptLeft = append(out.KeptLeft, duration(left))
	}
	if d.KeptFor > 0 {
		out.KeptFor = duration(d.KeptFor)
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
