package jwtarget

import "time"

// SubsetFor returns how many targets of each service a node may poll if each
// load report has the given number of bytes on the wire and is requested once in
// each interval, so that all reports together stay within budget, in bytes per
// second. It returns at least minSubsetSize.
func SubsetFor(budget, bytes float64, interval time.Duration, services int) int {
	if bytes <= 0 || services <= 0 {
		return DefaultSubset
	}
	n := int(budget * interval.Seconds() / bytes / float64(services))
	return max(n, minSubsetSize)
}

// minSubsetSize leaves a choice of targets when some of a subset fail.
const minSubsetSize = 3
