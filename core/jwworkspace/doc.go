// Package jwworkspace describes the workspaces on whose behalf callers send requests:
// the keys that identify them, the regions that may serve them, and their quotas.
package jwworkspace
