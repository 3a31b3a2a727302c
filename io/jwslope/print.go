package jwslope

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable prints the series, one a line.
func WriteTable(w io.Writer, series []Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROLE\tWHAT\tUNIT\tBY\tMEASURED\tBASE\tSLOPE\tR2\tRESIDUAL\tAT SIZE")
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.4g:%.4g", p.X, p.Y))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%.3g\t%.4g\n",
			s.Role, s.What, s.Unit, s.By, strings.Join(points, " "), s.Line.Base, s.Line.Slope, s.Line.R2, s.Line.Residual, s.At)
	}
	return t.Flush()
}
