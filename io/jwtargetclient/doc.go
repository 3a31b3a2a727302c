// Package jwtargetclient calls targets over HTTP/1.1 and tells, for each call
// that failed, whether the target can have run it.
package jwtargetclient
