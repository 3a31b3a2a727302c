// Package jwpart finds the parts of prompts that crash the targets that begin to answer them, so that
// requests with such a part, which may have nothing else in common, are not run.
//
// Each crash of a target leaves the parts of the requests that it ran or was about to run as suspects. A
// request that is served clears its parts. A part that is left over from several crashes, and more than
// any other part is, is barred. Nodes exchange crashes and clearances and come to the same result.
package jwpart
