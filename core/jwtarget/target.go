package jwtarget

import (
	"net/netip"
	"time"
)

// State reports whether a target may get new work.
type State string

// The states of a target.
const (
	Live    State = "live"
	Leaving State = "leaving" // finishes what it runs, gets no new work
	Failed  State = "failed"  // recent calls failed; tried again now and then
)

// Target is one runner as the platform lists it.
type Target struct {
	Address    netip.AddrPort
	Service    string
	Region     string
	DataCentre string
	State      State
}

// Load is what a target reported of itself; it lags behind.
type Load struct {
	Running  int           // requests in the current batch
	Waiting  int           // requests queued
	Slots    int           // requests it can batch at once
	CacheUse float64       // share of its prefix cache in use
	Token    time.Duration // time between tokens of one stream
	Taken    time.Time     // when the report was asked for
}
