package jwstore

import "github.com/pkg/errors"

// Revision is a position in the history of a store, 0 before all others. Revisions compare
// by the store's era and then by its own number: a store that comes back from an older copy
// gives out numbers again, in an era that is one higher.
type Revision = uint64

const (
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrRevision says that an era or a number is beyond what a Revision holds.
var ErrRevision = errors.New("revision out of range")

// RevisionAt returns the position of a store's own number in an era.
func RevisionAt(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Wrapf(ErrRevision, "era %d, number %d", era, number)
	}
	return makeRevision(era, number), nil
}

func makeRevision(era, number uint64) Revision { return era<<numberBits | number }

// Era returns the era of a position.
func Era(r Revision) uint64 { return r >> numberBits }

// Number returns the store's own number of a position.
func Number(r Revision) uint64 { return r & maxNumber }
