// Package jwworkspace describes the workspaces on whose behalf callers ask: the
// keys that name them, where they may be served, and how much they may ask for.
package jwworkspace
