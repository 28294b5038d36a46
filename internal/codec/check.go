package codec

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// CheckRecords checks new records against each other and against those in the store: the records that they refer to
// must exist, rollouts of one service must not overlap, and no two client accounts may have a key in common.
//
// Stored records that cannot be read are ignored. Without stored records, recs must hold all that they refer to.
// Errors about references and rollouts match tomlpb.ErrInvalid; errors about a record that cannot be converted match
// ErrUnknownSchema or ErrInvalidRecord.
func CheckRecords(file string, recs []*pb.Record, stored []item.Item) error {
	all := map[string]*record.Record{}
	for _, it := range stored {
		var r pb.Record
		if proto.Unmarshal(it.Value, &r) != nil || r.GetGone() {
			continue
		}
		if rec, err := RecordFromProto(&r); err == nil {
			all[r.GetKind()+"/"+r.GetName()] = rec
		}
	}
	for _, r := range recs {
		rec, err := RecordFromProto(r)
		if err != nil {
			return err
		}
		all[r.GetKind()+"/"+r.GetName()] = rec
	}
	for _, r := range recs {
		rec := all[r.GetKind()+"/"+r.GetName()]
		if err := checkRefs(rec, all); err != nil {
			return eris.Wrapf(tomlpb.ErrInvalid, "%s: %s %q: %s", file, r.GetKind(), r.GetName(), err.Error())
		}
	}
	return nil
}

// checkRefs checks that the records that rec refers to are in all, which is keyed by kind and name joined by a slash.
//
// For a rollout it also checks that no other rollout of the service overlaps, and for a client account that no other one has its keys.
func checkRefs(rec *record.Record, all map[string]*record.Record) error {
	switch {
	case rec.Upstream != nil:
		if all["service/"+rec.Upstream.Service] == nil {
			return eris.Errorf("service %q does not exist", rec.Upstream.Service)
		}
		if all["domain/"+rec.Upstream.Domain] == nil {
			return eris.Errorf("domain %q does not exist", rec.Upstream.Domain)
		}
	case rec.Rule != nil:
		for _, p := range rec.Rule.Splits {
			if all["service/"+p.Service] == nil {
				return eris.Errorf("service %q does not exist", p.Service)
			}
		}
	case rec.Account != nil:
		return checkKeys(rec.Account, all)
	case rec.Rollout != nil:
		if all["service/"+rec.Rollout.Service] == nil {
			return eris.Errorf("service %q does not exist", rec.Rollout.Service)
		}
		return checkOverlap(rec.Rollout, all)
	}
	return nil
}

// checkOverlap checks that no other rollout of the same service has a time span that overlaps with that of rollout.
func checkOverlap(rollout *rolrec.Rollout, all map[string]*record.Record) error {
	for _, r := range all {
		other := r.Rollout
		if other == nil || other.Name == rollout.Name || other.Service != rollout.Service {
			continue
		}
		if rollout.Start.Before(other.Deadline) && other.Start.Before(rollout.Deadline) {
			return eris.Errorf("it overlaps with move %q of the same service", other.Name)
		}
	}
	return nil
}
