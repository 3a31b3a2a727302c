package jwsettings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Line    int    `json:"line"` // number of the line, from 1
	Key     string `json:"key"`  // path of the key, such as "listen.callers"
	Problem string `json:"problem"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Problem)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Problem)
}

// Faults are all errors in a settings file, in the order of its lines. They implement
// error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
