// Package jwmeter counts what a node does, by tally with its Prometheus
// reporter. Handles are fetched once and kept; using one takes a few
// nanoseconds. Names are Prometheus names without the prefix "jujubewheel_",
// such as "requests_total"; durations are in seconds.
package jwmeter
