// Package jwevent finds the events of a text/event-stream in its bytes.
package jwevent
