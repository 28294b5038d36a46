package proxy

// count counts the attempt for an account, as of the time at which it is sent; "" is no account. Each run of an upstream counts, so
// hedges and retries do too.
func (a *attempt) count(account string) {
	if a.handler.Usage == nil || account == "" {
		return
	}
	a.account = account
	a.handler.Usage.Begin(account, a.req.SentAt)
}

// uncount takes the attempt out of the count if no upstream ran it.
func (a *attempt) uncount() {
	if a.account != "" && !a.result.MayHaveRun() {
		a.handler.Usage.Undo(a.account, a.req.SentAt)
	}
}
