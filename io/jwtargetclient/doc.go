// Package jwtargetclient calls targets over HTTP/1.1. For each failed call, the
// error says whether the target may have run it.
package jwtargetclient
