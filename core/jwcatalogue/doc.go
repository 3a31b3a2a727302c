// Package jwcatalogue holds the operators' catalogue: its entries, the log of
// changes that makes it, and the rules by which a change comes into force.
package jwcatalogue
