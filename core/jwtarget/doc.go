// Package jwtarget holds what a node knows of the targets: where they are,
// whether they may be used and how loaded they are.
package jwtarget
