package jwcommand

import (
	"os"

	"github.com/pkg/errors"

	"jujubewheel/io/jwtell"
)

// explainLog tells the way of a request from the logs of nodes.
type explainLog struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" type:"existingfile" help:"Logs of the nodes that the request may have passed; - for standard input."`
}

// Run reads all files before it tells anything.
func (c *explainLog) Run(p *Program) error {
	story := &jwtell.Story{Request: c.ID}
	for _, file := range c.Files {
		if err := readLog(story, file); err != nil {
			return err
		}
	}
	story.Tell(p.Stdout)
	if len(story.Lines) == 0 {
		return &exitError{Failed, errTold}
	}
	return nil
}

func readLog(story *jwtell.Story, file string) error {
	if file == "-" {
		return story.Read(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "explain log")
	}
	defer f.Close()
	return errors.Wrap(story.Read(f), file)
}
