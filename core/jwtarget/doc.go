// Package jwtarget holds what a node knows about the targets of its region:
// their addresses, whether they may get work, and their load.
package jwtarget
