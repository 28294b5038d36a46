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

// CheckRecords checks new records against each other and against those that the store holds.
//
// With no stored records, only the file itself is looked at. Errors match tomlpb.ErrInvalid.
func CheckRecords(file string, recs []*pb.Record, known []item.Item) error {
	all := map[string]*record.Record{}
	for _, it := range known {
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

// checkRefs checks that what a record names exists, and that moves do not overlap.
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
	case rec.Rollout != nil:
		if all["service/"+rec.Rollout.Service] == nil {
			return eris.Errorf("service %q does not exist", rec.Rollout.Service)
		}
		return checkOverlap(rec.Rollout, all)
	}
	return nil
}

func checkOverlap(m *rolrec.Rollout, all map[string]*record.Record) error {
	for _, r := range all {
		o := r.Rollout
		if o == nil || o.Name == m.Name || o.Service != m.Service {
			continue
		}
		if m.Start.Before(o.Deadline) && o.Start.Before(m.Deadline) {
			return eris.Errorf("it overlaps with move %q of the same service", o.Name)
		}
	}
	return nil
}
