// Command jujubestand runs one stand-in for a part of the platform, for a
// target or for the links between regions. It prints its addresses as one line
// of JSON once it listens and ends at SIGINT or SIGTERM.
package main
