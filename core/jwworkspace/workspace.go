package jwworkspace

// Workspace is one customer; it is not changed once it is in a Directory.
type Workspace struct {
	Name     string
	Homes    Regions // where its requests may be served
	Priority int     // 0 is the most urgent; it counts where Ranked is set
	Ranked   bool    // its Priority goes before that of the entry
	Quota    Quota
}

// Unit is what a quota counts.
type Unit string

// The units of quotas.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens" // of prompts and answers
)

// Quota bounds what a workspace may ask for over all nodes together; the zero
// value allows everything.
type Quota struct {
	Unit  Unit
	Rate  float64 // units a second, 0 for no bound
	Burst float64 // units beyond the rate at once
	Plain float64 // units of a request that names no tokens, where Unit is Tokens
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the units that a request takes; tokens is the sum of those read and
// those written at most, 0 for a request that names none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.Plain
}
