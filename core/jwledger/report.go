package jwledger

// Report is what nodes exchange about the demand of a region.
type Report struct {
	FromRelay bool            `json:"relay,omitempty"` // the sum of several nodes
	Whole     bool            `json:"whole,omitempty"` // the sum of all nodes of the region but the receiver
	Nodes     int             `json:"nodes"`           // number of nodes included
	Age       int64           `json:"age,omitempty"`   // milliseconds since the oldest part was current
	Services  []ServiceReport `json:"services,omitempty"`
}

// ServiceReport is a Sketch of a service in columns. Amounts are thousandths, in the order of
// Sums.list. Lost and Useful are reported by level only.
type ServiceReport struct {
	Service    string   `json:"service"`
	Rest       []int64  `json:"rest,omitempty"` // columns amounts of each level
	Workspaces []string `json:"names,omitempty"`
	Levels     []int    `json:"levels,omitempty"`
	Amounts    []int64  `json:"amounts,omitempty"` // namedColumns amounts of each named key
}

const amountsPerUnit = 1000

func appendAmounts(list []int64, s Sums, n int) []int64 {
	values := s.list()
	for _, v := range values[:n] {
		list = append(list, int64(*v*amountsPerUnit+0.5))
	}
	return list
}

// maxAmount bounds what a report may state, so that sums stay finite.
const maxAmount = 1e12

func readAmounts(list []int64, n int) Sums {
	var s Sums
	values := s.list()
	for i, v := range values[:n] {
		*v = float64(min(max(list[i], 0), maxAmount)) / amountsPerUnit
	}
	return s
}

func newServiceReport(service string, k *Sketch) ServiceReport {
	r := ServiceReport{Service: service}
	rest := k.Rest
	for _, key := range k.keys() {
		s := k.Named[key]
		r.Workspaces = append(r.Workspaces, key.Workspace)
		r.Levels = append(r.Levels, key.Level)
		r.Amounts = appendAmounts(r.Amounts, *s, namedColumns)
		rest[key.Level].Add(Sums{Lost: s.Lost, Useful: s.Useful})
	}
	for level, s := range rest {
		if rest != [Levels]Sums{} && (level == 0 || k.Size > 0) {
			r.Rest = appendAmounts(r.Rest, s, columns)
		}
	}
	return r
}

// sketch converts the report back. It ignores what is inconsistent.
func (r *ServiceReport) sketch(size int) *Sketch {
	k := &Sketch{Size: size, Named: make(map[Key]*Sums, len(r.Workspaces))}
	for level := range min(len(r.Rest)/columns, Levels) {
		k.Rest[level] = readAmounts(r.Rest[level*columns:], columns)
	}
	for i := range min(len(r.Workspaces), len(r.Levels), len(r.Amounts)/namedColumns) {
		s := readAmounts(r.Amounts[i*namedColumns:], namedColumns)
		k.Named[Key{r.Workspaces[i], Level(r.Levels[i])}] = &s
	}
	k.trim()
	return k
}
