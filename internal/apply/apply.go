package apply

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// ErrApply is matched by the errors of records that are invalid or were not written.
var ErrApply = eris.New("cannot apply the records")

// Text writes the records of a TOML text under compare-and-swap and returns how many were written; errors match ErrApply.
func Text(ctx context.Context, client *store.Client, text string) (int, error) {
	recs, err := codec.ReadRecords("records", []byte(text))
	if err != nil {
		return 0, eris.Wrap(ErrApply, err.Error())
	}
	for i, r := range recs {
		if err := write(ctx, client, r); err != nil {
			return i, err
		}
	}
	return len(recs), nil
}

// write writes one record.
func write(ctx context.Context, client *store.Client, r *pb.Record) error {
	data, err := proto.Marshal(r)
	if err != nil {
		return eris.Wrapf(ErrApply, "encode record %s %s: %v", r.GetKind(), r.GetName(), err)
	}
	key := keys.Record(r.GetKind(), r.GetName())
	old, err := client.Get(ctx, key)
	if err != nil {
		return eris.Wrapf(ErrApply, "read record %s: %v", key, err)
	}
	done, _, err := client.CompareAndSwap(ctx, item.Item{Key: key, Value: data}, old.Revision, 0)
	if err != nil || !done {
		return eris.Wrapf(ErrApply, "record %s was not written", key)
	}
	return nil
}

// Remove removes the record of a kind and name; errors match ErrApply.
func Remove(ctx context.Context, client *store.Client, kind, name string) error {
	key := keys.Record(kind, name)
	old, err := client.Get(ctx, key)
	if err != nil {
		return eris.Wrapf(ErrApply, "read record %s: %v", key, err)
	}
	done, _, err := client.CompareAndSwap(ctx, item.Item{Key: key, Tombstone: true}, old.Revision, 0)
	if err != nil || !done {
		return eris.Wrapf(ErrApply, "record %s was not removed", key)
	}
	return nil
}
