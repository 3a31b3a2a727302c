package jwlogtrace

import "fmt"

// shareSentence says why a request was rejected for its share.
func (l *Line) shareSentence() string {
	who := "callers without a workspace were"
	if l.Workspace != "" {
		who = fmt.Sprintf("workspace %s was", l.Workspace)
	}
	times := "without any share"
	if l.Granted > 0 {
		times = fmt.Sprintf("at %.1f times its share", float64(l.Asked)/float64(l.Granted))
	}
	return fmt.Sprintf("rejected: %s %s of region %s at urgency %d; all asked for %s targets' work, the region could run %s, "+
		"while %s targets' seconds waited; by reports up to %d ms old",
		who, times, l.Region, l.Urgency, thousandths(l.TotalAsked), thousandths(l.Room), thousandths(l.WaitingWork), l.ShareAgeMS)
}

func thousandths(n int64) string { return fmt.Sprintf("%.1f", float64(n)/1000) }
