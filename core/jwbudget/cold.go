package jwbudget

// ColdLimits limits what all nodes together may send to a cold target, one that is warming
// up: Rate*Ratio + Slack requests per second.
type ColdLimits struct {
	Rate  float64 // requests per second that the target can take
	Ratio float64 // multiple of Rate that is allowed
	Slack float64 // additional requests per second
}

// ColdShare returns how many requests per second a node may send to a cold target.
// The node of the region that owns the target sends what the target can take, and the
// others send nothing. Nodes that don't see each other may each act as the owner, so
// none uses more than its equal share of the limit. nodes is the number of nodes that
// may be running.
func ColdShare(l ColdLimits, owner bool, nodes int) float64 {
	if !owner {
		return 0
	}
	return min(l.Rate, (l.Rate*l.Ratio+l.Slack)/float64(max(nodes, 1)))
}
