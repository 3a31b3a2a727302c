// Package jwresolver decides which nodes a caller that asks the directory is told
// to connect to, and for how long it may keep the answer. It knows neither sockets
// nor tables: a View goes in, an Answer comes out.
package jwresolver
