package jwexplain

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

// Trace is what one node knows of one request.
type Trace struct {
	RequestID string            `json:"requestId"`
	Workspace string            `json:"workspace"` // WorkspaceHash of its name
	Entry     string            `json:"entry"`
	Region    string            `json:"region"` // home region, empty for an unknown workspace
	Bound     bool              `json:"bound"`
	Node      string            `json:"node"` // the node that traced it
	Hops      jwrequest.Hops    `json:"hops,omitempty"`
	Started   time.Time         `json:"started"`
	Ended     time.Time         `json:"ended"`
	Outcome   jwrequest.Outcome `json:"outcome"`
	Reason    jwdispatch.Reason `json:"reason,omitempty"`
	ServedBy  string            `json:"servedBy,omitempty"`
	Steps     []Step            `json:"steps"`
	Dropped   int               `json:"dropped,omitempty"` // steps beyond the most kept
}

// Step is one decision.
type Step struct {
	AfterMicros int64  `json:"afterMicros"` // since Started
	Step        string `json:"step"`
	Detail      string `json:"detail,omitempty"`
}

// hashBytes is enough to tell 38,000 workspaces apart.
const hashBytes = 8

// WorkspaceHash returns the short hash under which traces show a workspace.
func WorkspaceHash(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:hashBytes])
}
