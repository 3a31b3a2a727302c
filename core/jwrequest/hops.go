package jwrequest

// Hop is one node that a request has passed.
type Hop struct {
	Node       string `json:"node"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
}

// Hops is the way of a request so far, oldest first.
type Hops []Hop

// CrossedRegion tells whether the request has already changed region.
func (h Hops) CrossedRegion() bool {
	for i := 1; i < len(h); i++ {
		if h[i].Region != h[i-1].Region {
			return true
		}
	}
	return false
}

// CrossedDataCentre tells whether the request has already changed data
// centre within one region.
func (h Hops) CrossedDataCentre() bool {
	for i := 1; i < len(h); i++ {
		if h[i].Region == h[i-1].Region && h[i].DataCentre != h[i-1].DataCentre {
			return true
		}
	}
	return false
}

// Visited tells whether the request has passed the node.
func (h Hops) Visited(node string) bool {
	for _, hop := range h {
		if hop.Node == node {
			return true
		}
	}
	return false
}

// With returns the way extended by one hop; the receiver is left as it is.
func (h Hops) With(hop Hop) Hops {
	out := make(Hops, 0, len(h)+1)
	out = append(out, h...)
	return append(out, hop)
}
