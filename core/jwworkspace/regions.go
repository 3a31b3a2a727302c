package jwworkspace

import "slices"

// Regions lists the regions that may serve a request; if it is empty, all may.
type Regions []string

// noRegion is the only element of Regions that allow no region, since an empty list
// allows all.
const noRegion = ""

// Allows reports whether a region may serve the request.
func (r Regions) Allows(region string) bool { return len(r) == 0 || slices.Contains(r, region) }

// Intersect returns the regions that both lists allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case len(r) == 0:
		return other
	case len(other) == 0:
		return r
	}
	var both Regions
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return Regions{noRegion}
	}
	return both
}
