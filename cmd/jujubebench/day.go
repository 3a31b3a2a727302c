package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"jujubewheel/io/jwchart"
	"jujubewheel/io/jwlogtrace"
)

// dayCommand draws charts of a day from the logs of nodes.
type dayCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Logs of nodes; - for standard input."`
}

// Run writes the charts to standard output as SVG.
func (c *dayCommand) Run() error {
	log := &jwlogtrace.Log{}
	for _, file := range c.Files {
		if err := readFile(log, file); err != nil {
			return err
		}
	}
	return jwchart.Day(os.Stdout, jwlogtrace.NewTimeline(log))
}

// readFile adds the lines of a log file, or of standard input if file is "-".
func readFile(into *jwlogtrace.Log, file string) error {
	var r io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "day")
		}
		defer f.Close()
		r = f
	}
	return errors.Wrap(into.Read(r), file)
}
