// Package jwmemory accounts for the memory that a node holds for requests: their
// bodies, and answers that callers read slowly. It decides what may still be held
// and which slow caller gives up its part. It does no input or output.
package jwmemory
