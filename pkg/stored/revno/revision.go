package revno

// Revision is a revision of the store with the era in which the store gave it out. A store that was restored from an older copy
// begins a new era, in which it gives out the same numbers again.
//
// The era is in the high bits, so that comparing integers orders revisions by era, then by number. In era 0 a revision is the
// store's number. Number 0 stands for a key that does not exist.
type Revision int64

// The bits of the number leave 43 bits, 230 years at the 1,200 writes a second of the largest deployment, and a million eras.
const (
	numberBits = 43
	// MaxNumber is the highest number of a revision.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era of a revision.
	MaxEra = 1<<(63-numberBits) - 1
)

// New returns the revision with a number in an era. A number or era out of bounds is replaced by the nearest bound.
func New(era, number int64) Revision {
	return Revision(min(max(0, era), MaxEra)<<numberBits | min(max(0, number), MaxNumber))
}

// Era returns the era of the store that gave out the revision.
func (r Revision) Era() int64 { return int64(r >> numberBits) }

// Number returns the number that the store uses for the revision.
func (r Revision) Number() int64 { return int64(r & MaxNumber) }

// Absent returns the revision of a key that does not exist in the era of r.
func (r Revision) Absent() Revision { return New(r.Era(), 0) }
