// Package jwadmission decides whether a request that needs a model engine is accepted or
// rejected at once, and when a rejected caller is to retry. It holds no state: a decision
// depends only on the estimates that the Request carries.
package jwadmission
