package record

import (
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// Record is a service, an upstream, a failure domain, a rollout, a rule, bounds or a client account; exactly one pointer is set.
type Record struct {
	Service  *svcrec.Service
	Upstream *upsrec.Upstream
	Domain   *domrec.Domain
	Rollout  *rolrec.Rollout
	Rule     *rulrec.Rule
	Bounds   *bounds.Bounds
	Account  *accrec.Account
}
