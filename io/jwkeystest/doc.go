// Package jwkeystest makes throw-away certificates for tests.
package jwkeystest
