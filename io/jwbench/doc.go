// Package jwbench measures the decisions on targets, regions, admission and
// suspects against simple ones: it drives the real router, limiter and tables
// with fake runners in virtual time. All figures come from a model, not from a
// fleet; runs with the same seed give the same figures.
package jwbench
