package jwtarget

import "time"

// SubsetFor returns how many targets of each service a node may ask for their
// load when each report costs bytes on the wire and comes once in every
// interval, so that all of it stays within budget bytes a second.
func SubsetFor(budget, bytes float64, interval time.Duration, services int) int {
	if bytes <= 0 || services <= 0 {
		return DefaultSubset
	}
	n := int(budget * interval.Seconds() / bytes / float64(services))
	return max(n, minSubsetSize)
}

// minSubsetSize leaves a choice when some targets of a subset fail.
const minSubsetSize = 3
