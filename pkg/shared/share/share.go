package share

// Share is the share of a service's calls that one version gets.
type Share struct {
	Version string
	// Permille is the share in thousandths.
	Permille int
}
