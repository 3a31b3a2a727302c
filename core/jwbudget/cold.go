package jwbudget

// ColdLimits bound what all nodes together may send to a cold target.
type ColdLimits struct {
	Rate  float64 // requests a second that the target takes
	Ratio float64 // requests a second allowed for each that it takes
	Slack float64 // requests a second allowed besides
}

// ColdShare returns how many requests a second one node may send to a cold
// target. The node of the region that owns the target sends what it takes, the
// others nothing. Nodes that don't see each other may each believe to be the
// owner, so none takes more than its even part of the bound; nodes counts all
// that may live.
func ColdShare(l ColdLimits, owner bool, nodes int) float64 {
	if !owner {
		return 0
	}
	return min(l.Rate, (l.Rate*l.Ratio+l.Slack)/float64(max(nodes, 1)))
}
