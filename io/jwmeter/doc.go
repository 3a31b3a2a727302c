// Package jwmeter provides the metrics of a node, with tally and its Prometheus
// reporter. Fetch a handle once and keep it; using it takes a few nanoseconds.
// Names are Prometheus names without the prefix "jujubewheel_", such as
// "requests_total"; durations are in seconds.
package jwmeter
