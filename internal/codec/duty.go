package codec

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/duties/decis"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/tenure"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// DecodeDuty decodes an item under keys.DutyPrefix: the holder or the state of a duty. Errors match ErrInvalidValue.
func DecodeDuty(it item.Item) (value.Value, error) {
	if strings.HasSuffix(it.Key, "/state") {
		var t pb.Tenure
		err := unmarshal(it, &t)
		return value.Value{Tenure: &tenure.Tenure{
			Entry: t.GetOwner(), Incarnation: t.GetBoot(), Token: t.GetToken(), Recent: t.GetRecent(), Work: t.GetWork(),
		}}, err
	}
	var d pb.Duty
	if err := unmarshal(it, &d); err != nil {
		return value.Value{}, err
	}
	ap, err := netip.ParseAddrPort(d.GetPeer())
	if err != nil {
		return value.Value{}, eris.Wrapf(ErrInvalidValue, "key %s: %v", it.Key, err)
	}
	return value.Value{Owner: &owner.Owner{Entry: d.GetOwner(), Incarnation: d.GetBoot(), Peer: ap}}, nil
}

func dutyToProto(o *owner.Owner) *pb.Duty {
	out := &pb.Duty{Owner: o.Entry, Boot: o.Incarnation}
	if o.Peer.IsValid() {
		out.Peer = o.Peer.String()
	}
	return out
}

func tenureToProto(t *tenure.Tenure) *pb.Tenure {
	return &pb.Tenure{Owner: t.Entry, Boot: t.Incarnation, Token: t.Token, Recent: t.Recent, Work: t.Work}
}

// EncodeDecisions encodes what is decided about usage reports; equal decisions have equal encodings. Errors match ErrInvalidValue.
func EncodeDecisions(d decis.Decisions) ([]byte, error) {
	m := &pb.Decisions{Upto: d.To, Open: UsagesToProto(d.Open)}
	for _, h := range d.Carry {
		for _, u := range UsagesToProto(h.Usages) {
			m.Carry = append(m.Carry, &pb.Decisions_Carry{From: h.From, Usage: u})
		}
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidValue, err.Error())
	}
	return b, nil
}

// DecodeDecisions decodes what is decided about usage reports; errors match ErrInvalidValue.
func DecodeDecisions(data []byte) (decis.Decisions, error) {
	var m pb.Decisions
	if err := proto.Unmarshal(data, &m); err != nil {
		return decis.Decisions{}, eris.Wrap(ErrInvalidValue, err.Error())
	}
	out := decis.Decisions{To: m.GetUpto(), Open: UsagesFromProto(m.GetOpen())}
	for _, c := range m.GetCarry() {
		out.Carry = append(out.Carry, handov.Handover{From: c.GetFrom(), Usages: UsagesFromProto([]*pb.Usage{c.GetUsage()})})
	}
	return out, nil
}

// UsagesToProto converts counts for the store or a peer.
func UsagesToProto(list []usage.Usage) []*pb.Usage {
	out := make([]*pb.Usage, 0, len(list))
	for _, u := range list {
		out = append(out, &pb.Usage{Window: u.Window, Calls: u.Counts})
	}
	return out
}

// UsagesFromProto converts counts of the store or a peer. Negative counts, which no entry sends, are left out.
func UsagesFromProto(list []*pb.Usage) []usage.Usage {
	out := make([]usage.Usage, 0, len(list))
	for _, u := range list {
		in := usage.Usage{Window: u.GetWindow(), Counts: map[string]int64{}}
		for account, n := range u.GetCalls() {
			if n > 0 {
				in.Counts[account] = n
			}
		}
		out = append(out, in)
	}
	return out
}
