// Package jwplacement decides in which region a request is served, and by which
// node there. It holds no state: what each region is expected to take goes in, a
// Choice with its reason comes out.
package jwplacement
