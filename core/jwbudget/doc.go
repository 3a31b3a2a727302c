// Package jwbudget keeps sums that all nodes share without asking anyone: each
// node takes a part by the number of nodes there may be.
package jwbudget
