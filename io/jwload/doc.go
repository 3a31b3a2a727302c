// Package jwload sends requests as callers do and measures what comes of them.
//
// The load is open: each request has an intended time that does not depend on
// earlier answers, and every latency counts from it, so that a stall shows in
// all requests that it delayed. The same seed gives the same requests at the
// same times. Answers of the model engine stand-ins are checked word by word.
package jwload
