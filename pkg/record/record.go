package record

import (
	"github.com/balsamvale/balsamvale/pkg/domrec"
	"github.com/balsamvale/balsamvale/pkg/movrec"
	"github.com/balsamvale/balsamvale/pkg/svcrec"
	"github.com/balsamvale/balsamvale/pkg/upsrec"
)

// Record is a service, an upstream, a failure domain or a move; one pointer is set.
type Record struct {
	Service  *svcrec.Service
	Upstream *upsrec.Upstream
	Domain   *domrec.Domain
	Move     *movrec.Move
}
