// Package jwruntime estimates how long a request takes from how long others like it took.
package jwruntime
