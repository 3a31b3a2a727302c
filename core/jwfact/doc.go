// Package jwfact keeps what a node knows of single keys of a store that may be restored from older
// copies. A node learns of a key from several sources: its own reads, the changes that relays pass on,
// and the views of other nodes, each of another revision. Every fact has the revision as of which it
// is known, and no source undoes what is known from a later one.
package jwfact
