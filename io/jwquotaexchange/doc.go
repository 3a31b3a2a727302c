// Package jwquotaexchange carries claims and grants of quota units between nodes: each
// node claims from the relay of its data centre, and the relays from those at which the
// units of a workspace are gathered.
package jwquotaexchange
