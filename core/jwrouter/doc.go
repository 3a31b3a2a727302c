// Package jwrouter decides where a request runs: in which region, and there on
// which target. Its decisions are pure but for the tables they read; time and
// randomness come with each query.
package jwrouter
