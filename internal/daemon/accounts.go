package daemon

// initAccountMetrics registers the metrics of client accounts. None names an account or a key.
func (d *Daemon) initAccountMetrics() {
	d.metrics.NewGauge("balsamvale_accounts", func() float64 { return float64(d.core.Accounts().Accounts()) })
	d.metrics.NewGauge("balsamvale_account_keys", func() float64 { return float64(d.core.Accounts().Keys()) })
	d.metrics.NewGauge("balsamvale_account_age_seconds", func() float64 { return d.core.AccountsAge().Seconds() })
}
