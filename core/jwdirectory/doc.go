// Package jwdirectory holds the workspaces of the platform's client directory:
// the home region, the owner and whether data is bound to the home.
package jwdirectory
