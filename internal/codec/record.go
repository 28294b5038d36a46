package codec

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	pb2 "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v2"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/split"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// ErrUnknownSchema is matched by errors about a record whose kind or schema version is unknown.
var ErrUnknownSchema = eris.New("schema version is not known to this release")

// ErrInvalidRecord is matched by errors about a record that cannot be decoded or fails a check.
var ErrInvalidRecord = eris.New("invalid record")

// Kinds returns the kinds of records in the order in which they are written to the store.
//
// Moves come before upstreams, so that a new version gets no calls before its rollout is known, and accounts before rules, so that
// no call for a new rule is served without a key.
func Kinds() []string { return []string{"domain", "service", "move", "upstream", "account", "rule"} }

// newMessage returns an empty message for a kind and schema version, or nil if there is none.
func newMessage(kind string, schema int64) proto.Message {
	switch {
	case kind == "service" && schema == 1:
		return &pb.Service{}
	case kind == "service" && schema == 2:
		return &pb2.Service{}
	case kind == "upstream" && schema == 1:
		return &pb.Upstream{}
	case kind == "domain" && schema == 1:
		return &pb.Domain{}
	case kind == "move" && schema == 1:
		return &pb.Move{}
	case kind == "rule" && schema == 1:
		return &pb.Rule{}
	case kind == "account" && schema == 1:
		return &pb.Account{}
	}
	return nil
}

// ReadRecords parses the records of a TOML file and checks each by itself. It rejects two records of the same kind and
// name.
//
// The records are in the order of Kinds. The name of the file appears in errors, which match tomlpb.ErrInvalid.
func ReadRecords(name string, data []byte) ([]*pb.Record, error) {
	f, err := tomlpb.Parse(name, data)
	if err != nil {
		return nil, err
	}
	if err := f.CheckKeys(Kinds()...); err != nil {
		return nil, err
	}
	var out []*pb.Record
	seen := map[string]bool{}
	for _, kind := range Kinds() {
		newForSchema := func(schema int64) proto.Message { return newMessage(kind, schema) }
		err := f.DecodeArray(kind, newForSchema, func(m proto.Message) error {
			r, err := WrapRecord(kind, m)
			if err != nil {
				return err
			}
			key := keys.Record(kind, r.GetName())
			if seen[key] {
				return eris.Errorf("%s %q is defined twice", kind, r.GetName())
			}
			seen[key] = true
			out = append(out, r)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// WrapRecord puts the message of a record in an envelope and checks it; errors match ErrUnknownSchema or
// ErrInvalidRecord.
func WrapRecord(kind string, m proto.Message) (*pb.Record, error) {
	named, ok := m.(interface {
		GetName() string
		GetSchema() uint32
	})
	if !ok {
		return nil, eris.Wrapf(ErrInvalidRecord, "message of kind %q has no name or schema", kind)
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	r := &pb.Record{Kind: kind, Name: named.GetName(), Schema: named.GetSchema(), Body: body}
	if _, err := RecordFromProto(r); err != nil {
		return nil, err
	}
	return r, nil
}

// UnwrapRecord returns the message inside an envelope; errors match ErrUnknownSchema or ErrInvalidRecord.
func UnwrapRecord(r *pb.Record) (proto.Message, error) {
	m := newMessage(r.GetKind(), int64(r.GetSchema()))
	if m == nil {
		return nil, eris.Wrapf(ErrUnknownSchema, "%s %q has schema %d", r.GetKind(), r.GetName(), r.GetSchema())
	}
	if err := proto.Unmarshal(r.GetBody(), m); err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return m, nil
}

// RecordFromProto converts and checks the record inside an envelope; errors match ErrUnknownSchema or ErrInvalidRecord.
func RecordFromProto(r *pb.Record) (*record.Record, error) {
	m, err := UnwrapRecord(r)
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *pb.Service:
		return serviceRecord(UpgradeService(m))
	case *pb2.Service:
		return serviceRecord(m)
	case *pb.Upstream:
		return upstreamRecord(m)
	case *pb.Domain:
		return &record.Record{Domain: &domrec.Domain{
			Name: m.GetName(), Region: m.GetRegion(), Drained: m.GetOut(), Delay: m.GetDelay().AsDuration(),
		}}, nil
	case *pb.Move:
		return rolloutRecord(m)
	case *pb.Rule:
		return ruleRecord(m)
	case *pb.Account:
		return accountRecord(m)
	}
	return nil, eris.Wrapf(ErrInvalidRecord, "unknown kind %q", r.GetKind())
}

func serviceRecord(s *pb2.Service) (*record.Record, error) {
	if err := checkService(s); err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return &record.Record{Service: serviceFromProto(s)}, nil
}

func upstreamRecord(u *pb.Upstream) (*record.Record, error) {
	ap, err := netip.ParseAddrPort(u.GetAddr())
	if err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return &record.Record{Upstream: &upsrec.Upstream{
		Name: u.GetName(), Service: u.GetService(), Domain: u.GetDomain(),
		Addr: ap, Version: u.GetVersion(), Drain: u.GetLeave(), Slots: int(u.GetSlots()),
	}}, nil
}

func ruleRecord(r *pb.Rule) (*record.Record, error) {
	if !strings.HasSuffix(r.GetPath(), "/") {
		return nil, eris.Wrapf(ErrInvalidRecord, "path %q must end with a slash", r.GetPath())
	}
	if len(r.GetPart()) == 0 {
		return nil, eris.Wrap(ErrInvalidRecord, "a rule must have at least one part")
	}
	out := &rulrec.Rule{
		Name: r.GetName(), Host: r.GetHost(), Path: r.GetPath(), Retry: retry.Policy(r.GetRepeat()),
		Timeout: r.GetTimeout().AsDuration(), TargetLatency: r.GetGoal().AsDuration(),
		MaxAttempts: int(r.GetAttempts()), Priority: int(r.GetRank()), Public: r.GetPublic(),
	}
	for _, p := range r.GetPart() {
		out.Splits = append(out.Splits, split.Split{Service: p.GetService(), Weight: int(p.GetWeight())})
	}
	return &record.Record{Rule: out}, nil
}

func rolloutRecord(m *pb.Move) (*record.Record, error) {
	out := &rolrec.Rollout{
		Name: m.GetName(), Service: m.GetService(), From: m.GetFrom(), To: m.GetTo(),
		Start: m.GetStart().AsTime(), Deadline: m.GetDeadline().AsTime(),
	}
	if !out.Deadline.After(out.Start) {
		return nil, eris.Wrap(ErrInvalidRecord, "the deadline must be after the start")
	}
	if out.From == out.To {
		return nil, eris.Wrap(ErrInvalidRecord, "from and to must differ")
	}
	return &record.Record{Rollout: out}, nil
}
