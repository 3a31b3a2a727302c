// Package jwload generates load as callers do and measures the answers.
//
// The load is open-loop: each request has an intended send time that does not
// depend on earlier answers, and latencies are measured from that time. So a
// stall shows in every request that it delayed. The same seed gives the same
// requests at the same times. The answers of the stand-ins are compared with
// the expected text.
package jwload
