package jwclaim

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// RecordKind says what a handover record holds.
type RecordKind string

// The kinds of handover records, in the order in which they are sent.
const (
	IncarnationRecord RecordKind = "incarnation" // the tickets of one process
	AnswerRecord      RecordKind = "answer"      // one kept answer
	ReleaseRecord     RecordKind = "release"     // a claim whose call never ran and that still has to be released
	EndRecord         RecordKind = "end"         // the last record, with the number of records before it
)

// Record is one of the records that a stopping node hands over to its successor.
type Record struct {
	Kind        RecordKind `json:"kind"`
	Holder      Holder     `json:"holder,omitzero"` // the process that minted the tickets or made the claim
	Minted      uint64     `json:"minted,omitempty"`
	Used        []uint64   `json:"used,omitempty"`     // one bit per serial
	Runnable    bool       `json:"runnable,omitempty"` // the successor may run unused tickets
	Serial      uint64     `json:"serial,omitempty"`   // for the answer to a ticket
	Key         *keyHash   `json:"key,omitempty"`      // for the answer to a caller key, or for a release
	Claim       *claimID   `json:"claim,omitempty"`
	Slot        string     `json:"slot,omitempty"`
	Body        bodyHash   `json:"body,omitzero"`
	UntilMillis int64      `json:"untilMillis,omitempty"` // Unix time
	Answer      *Answer    `json:"answer,omitempty"`
	Count       uint64     `json:"count,omitempty"`
}

// DecodeRecord decodes one record. It rejects a record that it can't read in
// full with an error that is ErrRecord.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "%v", err)
	}
	return r, r.check()
}

func (r Record) check() error {
	ok := false
	switch r.Kind {
	case IncarnationRecord:
		ok = r.Holder.Incarnation != "" && uint64(len(r.Used)) <= r.Minted/64+1
	case AnswerRecord:
		ok = r.Answer != nil && r.Holder.Incarnation != "" && (r.Serial != 0) != (r.Key != nil && r.Claim != nil)
	case ReleaseRecord:
		ok = r.Key != nil && r.Claim != nil && strings.HasPrefix(r.Slot, slotsPrefix)
	case EndRecord:
		ok = true
	}
	if !ok {
		return errors.Wrapf(ErrRecord, "unknown kind or invalid fields, kind %q", r.Kind)
	}
	return nil
}

// records returns all that a successor needs, the end record last; k.mu is
// held.
func (k *Keeper) records() []Record {
	rs := []Record{k.incarnationRecord(k.self(), &k.ownSerials)}
	for _, a := range k.adopted {
		rs = append(rs, k.incarnationRecord(a.holder, &a.serials))
	}
	for e := k.keptCalls.Front(); e != nil; e = e.Next() {
		rs = append(rs, k.answerRecord(e.Value.(*Call)))
	}
	for _, s := range k.slots {
		for _, it := range s.queue {
			if it.kind != lookupItem {
				rs = append(rs, Record{Kind: ReleaseRecord, Key: &it.key, Claim: &it.id, Slot: s.prefix})
			}
		}
	}
	return append(rs, Record{Kind: EndRecord, Count: uint64(len(rs))})
}

func (k *Keeper) incarnationRecord(h Holder, s *serials) Record {
	return Record{
		Kind:     IncarnationRecord,
		Holder:   h,
		Minted:   s.minted,
		Used:     slices.Clone(s.used),
		Runnable: s.runnable && !k.handover.uncertain,
	}
}

func (k *Keeper) answerRecord(c *Call) Record {
	answer := c.answer
	r := Record{Kind: AnswerRecord, Holder: k.self(), Body: c.body, UntilMillis: c.until.UnixMilli(), Answer: &answer}
	if c.ref.serial != 0 {
		r.Holder.Incarnation = c.ref.incarnation
		r.Serial = c.ref.serial
		return r
	}
	r.Key, r.Claim = &c.ref.key, &c.claim
	return r
}
