// Package jwkeystest issues short-lived certificates for tests.
package jwkeystest
