package jwdemo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// teller writes what happens and counts what was not as promised.
type teller struct {
	w      io.Writer
	broken []string
	kept   int
}

func (t *teller) say(format string, args ...any) { fmt.Fprintf(t.w, format+"\n", args...) }

// check notes whether something promised holds.
func (t *teller) check(holds bool, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if holds {
		t.kept++
		t.say("   ok: %s", what)
		return
	}
	t.broken = append(t.broken, what)
	t.say("   NOT AS PROMISED: %s", what)
}

func (t *teller) verdict() error {
	if len(t.broken) == 0 {
		t.say("all %d promises that were looked at held", t.kept)
		return nil
	}
	return errors.Errorf("%d of %d promises broken: %s", len(t.broken), t.kept+len(t.broken), strings.Join(t.broken, "; "))
}

// summary writes the figures of all answers, an entry a line.
func (t *teller) summary(answers []answer) {
	byEntry := map[string][]answer{}
	var names []string
	for _, a := range answers {
		if byEntry[a.entry] == nil {
			names = append(names, a.entry)
		}
		byEntry[a.entry] = append(byEntry[a.entry], a)
	}
	slices.Sort(names)
	t.say("\nsummary")
	w := tabwriter.NewWriter(t.w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "   ENTRY\tSENT\tSERVED\tNOT RUN\tUNKNOWN\tSENT AWAY\tMEDIAN\tSLOWEST")
	for _, name := range names {
		fmt.Fprintln(w, "   "+name+"\t"+figuresOf(byEntry[name]).row())
	}
	_ = w.Flush()
}

// figures are what a caller sees of the answers of one entry.
type figures struct {
	sent, served, notRun, unknown, away int
	times                               []time.Duration // of those served
}

func figuresOf(answers []answer) figures {
	f := figures{sent: len(answers)}
	for _, a := range answers {
		switch {
		case a.served():
			f.served++
			f.times = append(f.times, a.whole)
			if a.region != "" && a.region != a.home {
				f.away++
			}
		case a.outcome == "notRun":
			f.notRun++
		default:
			f.unknown++
		}
	}
	slices.Sort(f.times)
	return f
}

func (f figures) row() string {
	median, slowest := "-", "-"
	if n := len(f.times); n > 0 {
		median, slowest = short(f.times[n/2]), short(f.times[n-1])
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%s\t%s", f.sent, f.served, f.notRun, f.unknown, f.away, median, slowest)
}

func short(d time.Duration) string { return d.Round(time.Millisecond).String() }

func since(began time.Time) string { return short(time.Since(began)) }
