package jwoperate

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
)

// Catalogue is the answer of GET /v1/catalogue, entries sorted by name.
type Catalogue struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Entry is one entry with the number of its last change, which is also its
// ETag.
type Entry struct {
	Revision uint64            `json:"revision"`
	Entry    jwcatalogue.Entry `json:"entry"`
}

// EditBody is the body of PUT and DELETE of an entry.
type EditBody struct {
	Entry  *jwcatalogue.Entry `json:"entry,omitempty"` // absent in DELETE
	Author string             `json:"author"`
	Reason string             `json:"reason"`
	EditID string             `json:"editId"` // the same for every send of this edit
}

// ForgetBody is the body of DELETE /v1/members/{region}/{node}.
type ForgetBody struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Forgotten is the answer to DELETE /v1/members/{region}/{node}.
type Forgotten struct {
	Region string `json:"region"`
	Node   string `json:"node"`
}

// RevisionStatus reports whether a revision is in force at all nodes.
type RevisionStatus struct {
	Revision uint64   `json:"revision"`
	Accepted bool     `json:"accepted"`          // in force at every node that may serve
	Missing  []string `json:"missing,omitempty"` // nodes that have not confirmed it
}

// History is the answer of GET /v1/catalogue/history, oldest change first.
type History struct {
	Revision uint64               `json:"revision"` // of the catalogue in force here
	Oldest   uint64               `json:"oldest"`   // first change that this node still has
	Changes  []jwcatalogue.Change `json:"changes"`
}

// ErrorBody is the body of an answer with an error status. The call had no
// effect, or its effect is not known.
type ErrorBody struct {
	Error    string              `json:"error"`
	Faults   []string            `json:"faults,omitempty"`   // of the edit
	Revision uint64              `json:"revision,omitempty"` // last change of the entry, after a conflict
	Winner   *jwcatalogue.Change `json:"winner,omitempty"`   // the conflicting change, if it is still known
}

// AuditRecords is the answer of GET /v1/audit, oldest first.
type AuditRecords struct {
	Records []jwaudit.Record `json:"records"`
}

// Traces is the answer of GET /v1/explain/requests/{id}, oldest first.
type Traces struct {
	Traces []jwexplain.Trace `json:"traces"`
}

// PeerList is the answer of GET /v1/peers, this node among them.
type PeerList struct {
	Peers []Peer `json:"peers"`
}

// Peer is one node as this node knows it.
type Peer struct {
	Name        string         `json:"name"`
	Region      string         `json:"region"`
	DataCentre  string         `json:"dataCentre"`
	Callers     netip.AddrPort `json:"callers"`
	Nodes       netip.AddrPort `json:"nodes"`
	Incarnation string         `json:"incarnation"`
	State       jwpeer.State   `json:"state"`
	Revision    uint64         `json:"revision"`
	Heard       time.Time      `json:"heard"` // when its last message arrived
}

// TargetList is the answer of GET /v1/targets: the targets this node uses.
type TargetList struct {
	Targets []Target `json:"targets"`
}

// Target is one target as this node knows it.
type Target struct {
	Address    netip.AddrPort `json:"address"`
	Service    string         `json:"service"`
	Region     string         `json:"region"`
	DataCentre string         `json:"dataCentre"`
	State      jwtarget.State `json:"state"`
}
