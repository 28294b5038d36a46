package proxy

import (
	"crypto/sha256"
	"net/http"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
)

// challenge is the value of WWW-Authenticate, which every response with status 401 has.
const challenge = "Key"

// accountPrefix tells names of client accounts apart from the addresses of callers.
const accountPrefix = "account "

// identity is the client account of a call; the zero value is that of a call that needs no key.
type identity struct {
	account *accrec.Account
	// digest is that of the key that the call carries.
	digest [sha256.Size]byte
}

// apply gives a call the name, the share and the priority of the account.
func (id *identity) apply(c *call.Call) {
	if id.account == nil {
		return
	}
	c.Account, c.Caller = id.account.Name, accountPrefix+id.account.Name
	if id.account.HasPriority {
		c.Priority = id.account.Priority
	}
}

// identifyOrRefuse finds the client account of a request that matches m, or refuses the request: with 401, which is final, only
// while the configuration b cannot lack a key that the store has.
func (h *Handler) identifyOrRefuse(w http.ResponseWriter, r *http.Request, b basis.Basis, m *routeMatch) bool {
	accounts, known := h.accountsInForce()
	if accounts == nil || m.rule != nil && m.rule.Public {
		return true
	}
	if !known {
		h.refuseUnserved(w, r, b, reason.Outdated, "keys cannot be checked with a configuration that may be out of date")
		return false
	}
	if key := h.Headers.AccountKey(r.Header); key != "" {
		m.identity.digest = accts.Digest(key)
		m.identity.account = accounts.Find(m.identity.digest)
	}
	if m.identity.account != nil {
		return true
	}
	const text = "the call has no key of a client account"
	if h.isOutdated(b) {
		h.refuseUnserved(w, r, b, reason.Outdated, text+" in a configuration that may be out of date")
		return false
	}
	w.Header().Set("WWW-Authenticate", challenge)
	h.refuseEarly(w, r, b, http.StatusUnauthorized, reason.UnknownKey, text)
	return false
}

// accountsInForce returns the client accounts, or nil if calls need no key; known is false if keys may have been removed longer ago
// than MaxKeyAge allows. The age is read first, so that the accounts are not older than that.
func (h *Handler) accountsInForce() (accounts *accts.Table, known bool) {
	if h.Accounts == nil {
		return nil, true
	}
	known = true
	if h.MaxKeyAge > 0 {
		age := h.AccountsAge()
		known = age >= 0 && age <= h.MaxKeyAge
	}
	return h.Accounts(), known
}

// recheck returns the reason why a call that may have waited is not to be sent: its key was removed or is that of another account
// now, or that is not known. It returns reason.None for a call that may be sent.
func (h *Handler) recheck(id *identity) reason.Reason {
	if id.account == nil {
		return reason.None
	}
	accounts, known := h.accountsInForce()
	if accounts == nil {
		return reason.None
	}
	if !known {
		return reason.Outdated
	}
	switch account := accounts.Find(id.digest); {
	case account == nil:
		return reason.UnknownKey
	case account.Name != id.account.Name:
		// A repeat of the call is that of the other account.
		return reason.Outdated
	}
	return reason.None
}

// stripTrailer removes trailers of the request that callers may not set, such as the name of a client account. It has to be called
// before the request is sent and again when its body ends, as net/http adds the trailers only then.
func (d *callDriver) stripTrailer() { d.handler.Headers.StripRequest(d.r.Trailer) }
