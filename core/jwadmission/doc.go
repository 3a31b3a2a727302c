// Package jwadmission decides whether a request that needs an engine is taken or
// turned away at once, and when its caller is to come back. It holds no state: what
// targets and regions are expected to take goes in, a Decision with its reason comes
// out.
package jwadmission
