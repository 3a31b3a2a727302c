package jwworkspace

// Workspace describes a customer. It must not be modified once it is in a Directory.
type Workspace struct {
	Name        string
	Homes       Regions // regions that may serve its requests
	Priority    int     // 0 is the most urgent; used only if HasPriority is set
	HasPriority bool    // whether Priority replaces the priority of the entry
	Quota       Quota
}

// Unit says what a quota counts.
type Unit string

// The units of quotas.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens" // tokens of prompts and answers
)

// Quota limits the requests of a workspace over all nodes together. The zero value
// allows everything.
type Quota struct {
	Unit         Unit
	Rate         float64 // units per second, 0 for no limit
	Burst        float64 // units allowed at once beyond the rate
	DefaultUnits float64 // units counted for a request without a token count, if Unit is Tokens
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the number of units that a request uses. tokens is the number of prompt
// tokens plus the maximum number of answer tokens, 0 for a request without a token
// count.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.DefaultUnits
}
