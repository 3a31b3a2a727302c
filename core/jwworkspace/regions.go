package jwworkspace

import "slices"

// Regions are those that may serve a request, all where empty.
type Regions []string

// noRegion stands for no region at all: an empty list allows all.
const noRegion = ""

// Allows reports whether a region may serve.
func (r Regions) Allows(region string) bool { return len(r) == 0 || slices.Contains(r, region) }

// Both returns the regions that two lists allow.
func (r Regions) Both(other Regions) Regions {
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
