// Package jwgateway is a node that takes its entries, targets and peers from a
// Feed of the platform: it passes requests to targets of its region or to a
// node of another one, names live nodes to callers, and stops without cutting
// off what it runs.
//
// What it reads and writes towards callers, targets and the store goes through
// a Dialect and Records, so that it knows no name of the platform's.
package jwgateway
