package memory

import (
	"cmp"
	"sync"
)

// Budget bounds the memory that is held, in bytes. It is safe for concurrent use; a nil Budget has no limit.
type Budget struct {
	limit int64
	// parent is what the budget is a part of; nil for none.
	parent *Budget
	// shared is set if the budget may hold no more than the parent has left.
	shared bool

	// mu guards the fields below. The lock of a part is taken before that of its parent.
	mu sync.Mutex
	// held is what Reserve has added, and charged what Charge has.
	held    int64
	charged int64
	closed  bool
}

// New returns a budget with a limit in bytes, or nil if that is 0, which means no limit.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Part returns a budget for a part of what b bounds, which counts in b as well. Its limit is that of b if limit is 0.
func (b *Budget) Part(limit int64) *Budget {
	if b == nil {
		return nil
	}
	return &Budget{limit: cmp.Or(limit, b.limit), parent: b}
}

// Share returns a part of b for one of several holders that compete. It may hold no more than what b has left then, so that none
// of them takes all.
func (b *Budget) Share() *Budget {
	if b == nil {
		return nil
	}
	return &Budget{limit: b.limit, parent: b, shared: true}
}

// Reserve adds n bytes to what is held, and reports whether they fit; if not, nothing is added. After Close,
// nothing fits but 0 bytes.
func (b *Budget) Reserve(n int64) bool {
	if b == nil || n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || n > b.leftLocked() || b.parent != nil && !b.parent.reserveFor(b, n) {
		return false
	}
	b.held += n
	return true
}

// reserveFor is Reserve for a part, whose lock the caller holds.
func (b *Budget) reserveFor(part *Budget, n int64) bool {
	if part.shared && part.held+n > b.left()-n {
		return false
	}
	return b.Reserve(n)
}

// Charge adds n bytes that are held whether they fit or not. They take no more than half of the limit from Reserve.
func (b *Budget) Charge(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charged += n
}

// Discharge takes off n bytes that Charge has added.
func (b *Budget) Discharge(n int64) { b.Charge(-n) }

// Release takes n bytes off what Reserve has added.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.held -= n
	if b.parent != nil {
		b.parent.Release(n)
	}
}

// Close releases all that is reserved. Calls of Release for parts of it may follow and do nothing.
func (b *Budget) Close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	if b.parent != nil {
		b.parent.Release(b.held)
	}
}

// Limit returns the limit in bytes, or 0 for none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the bytes that are reserved or charged.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held + b.charged
}

// left returns the bytes that can be reserved.
func (b *Budget) left() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leftLocked()
}

// leftLocked is left for a caller that holds mu.
func (b *Budget) leftLocked() int64 { return b.limit - b.held - min(b.charged, b.limit/2) }

// Scarce reports whether less than half of the limit is left.
func (b *Budget) Scarce() bool { return b != nil && b.left() < b.limit/2 }
