// Package jwchart draws what the logs of nodes tell of a day, so that a bad
// minute is seen at once.
package jwchart
