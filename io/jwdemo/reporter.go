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

// reporter writes what happens and keeps the results of checks.
type reporter struct {
	w      io.Writer
	failed []string // descriptions of the checks that failed
	passed int      // number of checks that passed
}

func (r *reporter) printLine(format string, args ...any) { fmt.Fprintf(r.w, format+"\n", args...) }

// check records and writes the result of a check.
func (r *reporter) check(ok bool, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if ok {
		r.passed++
		r.printLine("   ok: %s", what)
		return
	}
	r.failed = append(r.failed, what)
	r.printLine("   FAILED: %s", what)
}

// result returns an error that lists the failed checks, if any.
func (r *reporter) result() error {
	if len(r.failed) == 0 {
		r.printLine("all %d checks passed", r.passed)
		return nil
	}
	return errors.Errorf("%d of %d checks failed: %s", len(r.failed), r.passed+len(r.failed), strings.Join(r.failed, "; "))
}

// writeSummary writes a table of all answers, a line for each entry.
func (r *reporter) writeSummary(answers []answer) {
	byEntry := map[string][]answer{}
	var names []string
	for _, a := range answers {
		if byEntry[a.entry] == nil {
			names = append(names, a.entry)
		}
		byEntry[a.entry] = append(byEntry[a.entry], a)
	}
	slices.Sort(names)
	r.printLine("\nsummary")
	w := tabwriter.NewWriter(r.w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "   ENTRY\tSENT\tSERVED\tNOT RUN\tUNKNOWN\tSENT AWAY\tMEDIAN\tSLOWEST")
	for _, name := range names {
		fmt.Fprintln(w, "   "+name+"\t"+statsOf(byEntry[name]).row())
	}
	_ = w.Flush()
}

// entryStats counts the answers of one entry by outcome, as callers see them.
type entryStats struct {
	sent, served, notRun, unknown, away int
	times                               []time.Duration // of the served answers, sorted
}

func statsOf(answers []answer) entryStats {
	stats := entryStats{sent: len(answers)}
	for _, a := range answers {
		switch {
		case a.served():
			stats.served++
			stats.times = append(stats.times, a.completeAfter)
			if a.servedBy != "" && a.servedBy != a.home {
				stats.away++
			}
		case a.outcome == "notRun":
			stats.notRun++
		default:
			stats.unknown++
		}
	}
	slices.Sort(stats.times)
	return stats
}

func (s entryStats) row() string {
	median, slowest := "-", "-"
	if n := len(s.times); n > 0 {
		median, slowest = formatMillis(s.times[n/2]), formatMillis(s.times[n-1])
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%s\t%s", s.sent, s.served, s.notRun, s.unknown, s.away, median, slowest)
}

func formatMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }

func formatElapsed(began time.Time) string { return formatMillis(time.Since(began)) }
