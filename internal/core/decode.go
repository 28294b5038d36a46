package core

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/pkg/records/defect"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// errDecodePanic is matched by the errors about an item whose decoding panicked.
var errDecodePanic = eris.New("decoding panicked")

// safeDecoder turns a panic of decode into an error, so that one malformed item is rejected and the items beside it apply.
type safeDecoder struct {
	decode func(item.Item) (value.Value, error)
	log    *logs.Log
}

// maxDefectLines is the number of defects of one item that are logged one by one.
const maxDefectLines = 10

// decodeItem decodes an item and logs its defects, its warnings and the errors in its client accounts; errors are those of decode, or
// match errDecodePanic.
func (d *safeDecoder) decodeItem(it item.Item) (v value.Value, err error) {
	defer func() {
		if p := recover(); p != nil {
			d.log.Panic("decoding "+it.Key, "", p)
			err = eris.Wrapf(errDecodePanic, "%s at revision %d: %v", it.Key, it.Revision.Number(), p)
		}
	}()
	v, err = d.decode(it)
	if v.Batch != nil {
		d.logDefects(it, v.Batch.Defects)
		for _, text := range v.Batch.Warnings {
			d.log.Warn("limit", zap.String("key", it.Key), zap.Int64("revision", it.Revision.Number()), zap.String("text", text))
		}
		for _, text := range v.Batch.AccountErrors {
			d.log.Warn("account", zap.String("key", it.Key), zap.Int64("revision", it.Revision.Number()), zap.String("text", text))
		}
	}
	return v, err
}

// logDefects logs the first defects of an item, and how many there are.
func (d *safeDecoder) logDefects(it item.Item, defects []defect.Defect) {
	for _, f := range defects[:min(len(defects), maxDefectLines)] {
		d.log.Warn("defect", zap.String("key", f.Key), zap.Int64("revision", it.Revision.Number()), zap.String("field", f.Field),
			zap.String("value", f.Value), zap.String("problem", f.Problem), zap.String("effect", f.Effect), zap.Int("of", len(defects)))
	}
}
