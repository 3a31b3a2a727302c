// Package jwversion keeps which software version of a service began a stream, so that the stream goes
// on at that version only, also when its caller takes it up again at another node.
package jwversion
