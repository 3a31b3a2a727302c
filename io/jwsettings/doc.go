// Package jwsettings reads the settings of a node: one file of JSON with
// comments and trailing commas. Durations are written as "250ms" or "24h",
// addresses as "10.1.0.7:8080". Every key is checked. All faults of a file are
// reported together, each with its line.
package jwsettings
