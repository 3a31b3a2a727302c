// Package jwdirectory holds the workspaces of the platform's client directory:
// the home region and the owner of each, and whether its data must stay in the
// home region.
package jwdirectory
