// Package jwquotaexchange exchanges claims and grants of quota units between nodes. Each
// node claims from the relay of its data centre, and each relay claims the units of a
// workspace from the relay at which they are gathered.
package jwquotaexchange
