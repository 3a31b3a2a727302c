package jwcommand

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/io/jwlogtrace"
)

// explainLog shows the path of a request from the logs of nodes.
type explainLog struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" type:"existingfile" help:"Logs of the nodes that the request may have passed; - for standard input."`
}

// Run reads all files before it prints anything.
func (c *explainLog) Run(p *Program) error {
	trace := &jwlogtrace.Trace{Request: c.ID}
	if err := readLogs(trace, c.Files); err != nil {
		return err
	}
	trace.Write(p.Stdout)
	if len(trace.Lines) == 0 {
		return &exitError{Failed, errReported}
	}
	return nil
}

// explainView shows what a node knew at a point in time.
type explainView struct {
	Node  string    `arg:"" help:"The node's name."`
	At    time.Time `arg:"" help:"Time by the node's clock, as 2026-01-02T15:04:05Z."`
	Files []string  `arg:"" type:"existingfile" help:"Logs of the node; - for standard input."`
}

// Run prints the view. It fails if the logs have no line of the node up to that
// time.
func (c *explainView) Run(p *Program) error {
	log := &jwlogtrace.Log{}
	if err := readLogs(log, c.Files); err != nil {
		return err
	}
	view := log.ViewAt(c.Node, c.At)
	view.Write(p.Stdout, c.At)
	printDamaged(p, log)
	if view.Last.IsZero() {
		return &exitError{Failed, errReported}
	}
	return nil
}

// explainTarget shows why a target got no requests in a period.
type explainTarget struct {
	ID    string    `arg:"" help:"The target's name."`
	From  time.Time `arg:"" help:"Start of the period, as 2026-01-02T15:04:05Z."`
	To    time.Time `arg:"" help:"End of the period, as 2026-01-02T15:04:05Z."`
	Files []string  `arg:"" type:"existingfile" help:"Logs of the nodes of its region; - for standard input."`
}

// Run prints what each node sent to the target and knew about it.
func (c *explainTarget) Run(p *Program) error {
	log := &jwlogtrace.Log{}
	if err := readLogs(log, c.Files); err != nil {
		return err
	}
	log.Idle(p.Stdout, c.ID, c.From, c.To)
	printDamaged(p, log)
	return nil
}

func printDamaged(p *Program, log *jwlogtrace.Log) {
	if log.Damaged > 0 {
		fmt.Fprintf(p.Stdout, "(%d damaged lines skipped)\n", log.Damaged)
	}
}

// logReader collects the lines of logs.
type logReader interface {
	Read(r io.Reader) error
}

func readLogs(into logReader, files []string) error {
	for _, file := range files {
		if err := readLog(into, file); err != nil {
			return err
		}
	}
	return nil
}

func readLog(into logReader, file string) error {
	if file == "-" {
		return into.Read(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer f.Close()
	return errors.Wrap(into.Read(f), file)
}
