// Package jwslope measures how the control work of a node grows with the size
// of the system: it runs the real exchange, catalogue, claims, load reports and
// pollers at several sizes in one process and fits a line to each figure.
package jwslope
