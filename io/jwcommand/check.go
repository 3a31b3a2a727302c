package jwcommand

import (
	"fmt"

	"github.com/pkg/errors"

	"jujubewheel/io/jwsettings"
)

// checkCommand checks settings files.
type checkCommand struct {
	Files []string `arg:"" type:"path" help:"Settings files."`
	JSON  bool     `help:"Print JSON."`
}

// checkResult is the result for one file, as check prints it.
type checkResult struct {
	File   string            `json:"file"`
	Node   string            `json:"node,omitempty"`
	Error  string            `json:"error,omitempty"` // when the file cannot be read at all
	Faults jwsettings.Faults `json:"faults,omitempty"`
}

// Run checks all files, also those after one with faults.
func (c *checkCommand) Run(p *Program) error {
	var failure error
	var results []checkResult
	for _, file := range c.Files {
		s, err := jwsettings.Load(file)
		r := checkResult{File: file}
		switch {
		case err == nil:
			r.Node = s.Node
		case !errors.As(err, &r.Faults):
			r.Error = err.Error()
		}
		results = append(results, r)
		if err != nil {
			failure = &exitError{Invalid, errReported}
		}
	}
	if c.JSON {
		return firstError(printJSON(p.Stdout, results), failure)
	}
	for _, r := range results {
		r.print(p)
	}
	return failure
}

func (r checkResult) print(p *Program) {
	if r.Node != "" {
		fmt.Fprintf(p.Stdout, "%s: ok, node %s\n", r.File, r.Node)
	}
	if r.Error != "" {
		fmt.Fprintln(p.Stderr, r.Error)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(p.Stderr, "%s: %s\n", r.File, f)
	}
}

// loadSettings loads one file; faults in it have the exit code Invalid.
func loadSettings(file string) (*jwsettings.Settings, error) {
	s, err := jwsettings.Load(file)
	var faults jwsettings.Faults
	if errors.As(err, &faults) {
		return nil, &exitError{Invalid, err}
	}
	return s, err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
