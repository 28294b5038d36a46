package codec

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/ledger"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// ErrInvalidValue is matched by errors about a value that cannot be decoded from or encoded for the store.
var ErrInvalidValue = eris.New("invalid store value")

// Decode decodes an item under keys.ControlPrefix; the prefix of its key says of what type it is.
//
// A record that is marked as removed gives an empty value. Errors match ErrInvalidValue, ErrUnknownSchema or
// ErrInvalidRecord.
func Decode(it item.Item) (value.Value, error) {
	switch {
	case strings.HasPrefix(it.Key, keys.RecordPrefix):
		return decodeRecord(it)
	case strings.HasPrefix(it.Key, keys.MemberPrefix):
		return decodeMember(it)
	case strings.HasPrefix(it.Key, keys.OwnerPrefix):
		var d pb.Duty
		err := unmarshal(it, &d)
		return value.Value{Owner: &owner.Owner{Entry: d.GetOwner(), Incarnation: d.GetBoot()}}, err
	case strings.HasPrefix(it.Key, keys.RolloutPrefix):
		var p pb.Progress
		err := unmarshal(it, &p)
		return value.Value{Progress: progressFromProto(&p)}, err
	}
	return value.Value{}, eris.Wrapf(ErrInvalidValue, "unknown key %s", it.Key)
}

func unmarshal(it item.Item, m proto.Message) error {
	if err := proto.Unmarshal(it.Value, m); err != nil {
		return eris.Wrapf(ErrInvalidValue, "key %s: %v", it.Key, err)
	}
	return nil
}

func decodeRecord(it item.Item) (value.Value, error) {
	var r pb.Record
	if err := unmarshal(it, &r); err != nil {
		return value.Value{}, err
	}
	if r.GetGone() {
		return value.Value{}, nil
	}
	if keys.Record(r.GetKind(), r.GetName()) != it.Key {
		return value.Value{}, eris.Wrapf(ErrInvalidRecord, "%s %q is stored under the wrong key %s", r.GetKind(), r.GetName(), it.Key)
	}
	rec, err := RecordFromProto(&r)
	if err != nil {
		return value.Value{}, err
	}
	return value.Value{Record: rec}, nil
}

func decodeMember(it item.Item) (value.Value, error) {
	var m pb.Member
	if err := unmarshal(it, &m); err != nil {
		return value.Value{}, err
	}
	ap, err := netip.ParseAddrPort(m.GetPeer())
	if err != nil {
		return value.Value{}, eris.Wrapf(ErrInvalidValue, "key %s: %v", it.Key, err)
	}
	return value.Value{Member: &member.Member{
		Name: m.GetName(), Domain: m.GetDomain(), Peer: ap, Incarnation: m.GetBoot(), Draining: m.GetLeave(),
	}}, nil
}

func progressFromProto(p *pb.Progress) *progrs.Progress {
	return &progrs.Progress{
		Rollout: p.GetMove(), Permille: int(p.GetShare()), Phase: phase.Phase(p.GetPhase()),
		Writer: p.GetDriver(), SteppedAt: p.GetSince().AsTime(), Start: p.GetStart().AsTime(), Reason: p.GetReason(),
	}
}

// Encode encodes a member, the owner of a shard or a duty, the progress of a rollout or the state of a duty for the store.
//
// Any other value gives nil. Errors match ErrInvalidValue.
func Encode(v value.Value) ([]byte, error) {
	var m proto.Message
	switch {
	case v.Member != nil:
		m = &pb.Member{
			Name: v.Member.Name, Domain: v.Member.Domain, Peer: v.Member.Peer.String(),
			Boot: v.Member.Incarnation, Leave: v.Member.Draining,
		}
	case v.Owner != nil:
		m = dutyToProto(v.Owner)
	case v.Tenure != nil:
		m = tenureToProto(v.Tenure)
	case v.Progress != nil:
		p := v.Progress
		m = &pb.Progress{
			Move: p.Rollout, Share: uint32(p.Permille), Phase: pb.Progress_Phase(p.Phase),
			Driver: p.Writer, Since: timestamppb.New(p.SteppedAt), Start: timestamppb.New(p.Start), Reason: p.Reason,
		}
	default:
		return nil, nil
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidValue, err.Error())
	}
	return b, nil
}

// DecodeClaims decodes a bucket of claims; errors match ErrInvalidValue.
func DecodeClaims(data []byte) (ledger.Ledger, error) {
	var cs pb.Claims
	if err := proto.Unmarshal(data, &cs); err != nil {
		return ledger.Ledger{}, eris.Wrap(ErrInvalidValue, err.Error())
	}
	out := ledger.Ledger{Claims: make([]claim.Claim, 0, len(cs.GetClaim())), Era: cs.GetEra()}
	if cs.GetDoubt() != nil {
		out.DoubtUntil = cs.GetDoubt().AsTime()
	}
	for _, c := range cs.GetClaim() {
		out.Claims = append(out.Claims, claim.Claim{
			Key: c.GetKey(), Owner: c.GetOwner(), Attempt: c.GetAttempt(),
			Binding: bind.Binding{Account: c.GetAccount(), Method: c.GetMethod(), URI: c.GetUri(), Body: c.GetHash()},
			State:   state.State(c.GetState()), Until: c.GetUntil().AsTime(),
			Answer: answer.Answer{Status: int(c.GetStatus()), Type: c.GetType(), Head: c.GetHead(), Body: c.GetBody()},
		})
	}
	return out, nil
}

// EncodeHead encodes the headers and trailers of a saved response; errors match ErrInvalidValue.
func EncodeHead(header, trailer http.Header) ([]byte, error) {
	b, err := proto.Marshal(&pb.Claim_Head{Header: encodeFields(header), Trailer: encodeFields(trailer)})
	if err != nil {
		return nil, eris.Wrap(ErrInvalidValue, err.Error())
	}
	return b, nil
}

// DecodeHead returns the headers and trailers of a saved response; errors match ErrInvalidValue. Versions that do not save headers
// save the media type alone.
func DecodeHead(a *answer.Answer) (header, trailer http.Header, err error) {
	var m pb.Claim_Head
	if err := proto.Unmarshal(a.Head, &m); err != nil {
		return nil, nil, eris.Wrap(ErrInvalidValue, err.Error())
	}
	header = decodeFields(m.GetHeader())
	if len(a.Head) == 0 && a.Type != "" {
		header = http.Header{"Content-Type": {a.Type}}
	}
	return header, decodeFields(m.GetTrailer()), nil
}

func decodeFields(fields []*pb.Claim_Field) http.Header {
	if len(fields) == 0 {
		return nil
	}
	h := http.Header{}
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], string(f.GetValue()))
	}
	return h
}

// encodeFields encodes headers, sorted by name, so that equal headers have equal encodings.
func encodeFields(h http.Header) []*pb.Claim_Field {
	var fields []*pb.Claim_Field
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, value := range h[name] {
			fields = append(fields, &pb.Claim_Field{Name: name, Value: []byte(value)})
		}
	}
	return fields
}

// EncodeClaims encodes a bucket of claims; errors match ErrInvalidValue.
func EncodeClaims(l ledger.Ledger) ([]byte, error) {
	m := &pb.Claims{Claim: make([]*pb.Claim, 0, len(l.Claims)), Era: l.Era}
	if !l.DoubtUntil.IsZero() {
		m.Doubt = timestampProto(l.DoubtUntil)
	}
	for _, c := range l.Claims {
		m.Claim = append(m.Claim, &pb.Claim{
			Key: c.Key, Owner: c.Owner, Attempt: c.Attempt, State: pb.Claim_State(c.State),
			Until: timestampProto(c.Until), Status: uint32(c.Answer.Status), Body: c.Answer.Body,
			Type: strings.ToValidUTF8(c.Answer.Type, ""), Head: c.Answer.Head,
			Account: c.Binding.Account, Method: c.Binding.Method, Uri: c.Binding.URI, Hash: c.Binding.Body,
		})
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidValue, err.Error())
	}
	return b, nil
}

func timestampProto(t time.Time) *timestamppb.Timestamp { return timestamppb.New(t) }
