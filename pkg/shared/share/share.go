package share

// Share is the part of a service's calls that one version gets.
type Share struct {
	Version string
	// Permille is the part in thousandths.
	Permille int
}
