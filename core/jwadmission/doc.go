// Package jwadmission decides whether a request that needs an engine is taken or
// rejected at once, and when its caller is to retry. It holds no state: what
// targets and regions are expected to take goes in, a Decision with its reason comes
// out.
package jwadmission
