// Package jwcerttest issues short-lived certificates for tests.
package jwcerttest
