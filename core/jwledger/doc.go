// Package jwledger keeps the ledger of a region: the work that callers offer and that targets run, by
// service, workspace and urgency.
//
// Work is counted in seconds of a whole target, by the resource of which a request takes the largest
// part: the slots or the memory for prompts. A few keys with the largest demand are named, all others are
// one sum for each level. Each node meters its own requests; a Table adds what the other nodes of the
// region report. It opens no sockets and reads no clock.
package jwledger
