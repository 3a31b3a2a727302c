package jwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print")
}

// table prints rows in columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, head ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t table) flush() error { return errors.Wrap(t.w.Flush(), "print") }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
