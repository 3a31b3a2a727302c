package jwslope

// The size that the system is made for.
const (
	Nodes          = 970
	DataCentres    = 27
	Regions        = 13
	Runners        = 3200
	Workspaces     = 38_000
	ChangesADay    = 3400
	RequestsSecond = 21_000
	secondsADay    = 86_400
)

// The sizes that are measured; each list ends at or near the target.
var (
	nodeSizes      = []int{10, 30, 100, 300, Nodes}
	runnerSizes    = []int{30, 100, 300, 1000, Runners}
	changeRates    = []int{1, 4, 16, 64} // a minute
	workspaceSizes = []int{1000, 4000, 12_000, Workspaces}
	memberSizes    = []int{10, 30, 75, 230}
	claimRates     = []int{10, 30, 100, 300}
)
