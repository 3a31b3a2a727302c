// Package jwplacement decides in which region a request is served, and by which node
// there. It holds no state: a Choice depends only on the estimates of the Options.
package jwplacement
