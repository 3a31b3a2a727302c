package jwtarget

import (
	"net/netip"
	"time"
)

// State is the state of a target, which determines whether it may get new work.
type State string

// These are the states of a target.
const (
	Live    State = "live"
	Leaving State = "leaving" // finishes its running calls and gets no new ones
	Failed  State = "failed"  // recent calls or load reports failed; probed again after a backoff
)

// Target is one model server as the platform's list shows it.
type Target struct {
	Address    netip.AddrPort
	Service    string
	Region     string
	DataCentre string
	State      State
}

// Load is a target's own report of its load. It is older than the calls that
// started since.
type Load struct {
	Running       int           // requests in the batch being processed
	Waiting       int           // requests queued
	Slots         int           // max requests in one batch; 0 if not known
	CacheUse      float64       // fraction of its prefix cache in use, 0 to 1
	TokenInterval time.Duration // time between tokens of one stream
	RequestedAt   time.Time     // when the report was requested
}
