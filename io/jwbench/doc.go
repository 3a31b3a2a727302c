// Package jwbench compares the project's routing, admission and suspect
// policies with simple baselines. It drives the real router, limiter and tables
// with simulated runners in virtual time. All figures come from this model, not
// from a real deployment; runs with the same seed give the same figures.
package jwbench
