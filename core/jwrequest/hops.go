package jwrequest

// Hop is one node that a request has passed.
type Hop struct {
	Node       string `json:"node"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
}

// Hops is the list of the nodes that a request has passed, oldest first.
type Hops []Hop

// RegionChanges returns how often the request has changed region.
func (h Hops) RegionChanges() int {
	n := 0
	for i := 1; i < len(h); i++ {
		if h[i].Region != h[i-1].Region {
			n++
		}
	}
	return n
}

// RevisitsDataCentre reports whether the request has returned to a data centre
// that it had left.
func (h Hops) RevisitsDataCentre() bool {
	left := make(map[string]bool)
	for i := 1; i < len(h); i++ {
		if h[i].DataCentre == h[i-1].DataCentre {
			continue
		}
		left[h[i-1].DataCentre] = true
		if left[h[i].DataCentre] {
			return true
		}
	}
	return false
}

// Visited reports whether the request has passed the node with the given name.
func (h Hops) Visited(node string) bool {
	for _, hop := range h {
		if hop.Node == node {
			return true
		}
	}
	return false
}

// With returns a copy of the list with one more hop; h is not changed.
func (h Hops) With(hop Hop) Hops {
	out := make(Hops, 0, len(h)+1)
	out = append(out, h...)
	return append(out, hop)
}
