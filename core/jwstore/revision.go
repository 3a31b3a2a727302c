package jwstore

import "github.com/pkg/errors"

// Revision is a position in the history of a store; 0 is before all others. It consists of
// the store's era in the upper bits and the store's own number below, so that revisions
// compare by era first. A store that is restored from an older copy assigns the same numbers
// again, in an era that is one higher.
type Revision = uint64

const (
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrRevision means that an era or a number does not fit into a Revision.
var ErrRevision = errors.New("revision out of range")

// RevisionAt returns the revision of a store's own number in an era, or ErrRevision if one of
// them is out of range.
func RevisionAt(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Wrapf(ErrRevision, "era %d, number %d", era, number)
	}
	return makeRevision(era, number), nil
}

// makeRevision returns the revision of an era and a number that are within range.
func makeRevision(era, number uint64) Revision { return era<<numberBits | number }

// Era returns the era of a revision.
func Era(r Revision) uint64 { return r >> numberBits }

// Number returns the store's own number of a revision.
func Number(r Revision) uint64 { return r & maxNumber }
