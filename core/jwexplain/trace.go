package jwexplain

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

// Trace holds the decisions of one node on one request.
type Trace struct {
	RequestID string            `json:"requestId"`
	Workspace string            `json:"workspace"` // WorkspaceHash of its name
	Entry     string            `json:"entry"`
	Region    string            `json:"region"` // home region, empty for an unknown workspace
	Bound     bool              `json:"bound"`
	Node      string            `json:"node"` // the node that recorded the trace
	Hops      jwrequest.Hops    `json:"hops,omitempty"`
	Started   time.Time         `json:"started"`
	Ended     time.Time         `json:"ended"`
	Outcome   jwrequest.Outcome `json:"outcome"`
	Reason    jwdispatch.Reason `json:"reason,omitempty"`
	ServedBy  string            `json:"servedBy,omitempty"` // region of the target
	Steps     []Step            `json:"steps"`
	Dropped   int               `json:"dropped,omitempty"` // number of steps beyond maxSteps, which are not kept
}

// Step is one decision on a request.
type Step struct {
	AfterMicros int64  `json:"afterMicros"` // since Started
	Step        string `json:"step"`
	Detail      string `json:"detail,omitempty"`
}

// hashBytes is the length of a workspace hash, enough to distinguish 38,000
// workspaces.
const hashBytes = 8

// WorkspaceHash returns the short hash under which traces show a workspace.
func WorkspaceHash(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:hashBytes])
}
