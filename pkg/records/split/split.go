package split

// Split is the share of a rule's calls that one service gets.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is relative to the weights of the rule's other splits.
	Weight int
}
