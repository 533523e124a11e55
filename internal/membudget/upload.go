package membudget

import "time"

// minStall is how long an upload must have stood still to be ended for others.
const minStall = time.Second

// Upload accounts the bytes held for one request of a caller, from its first byte until it has ended. They
// count as bytes of bodies. A nil Upload accounts nothing. Safe for concurrent use.
type Upload struct {
	budget *Budget
	end    func()
	// The fields below are guarded by budget.mu.
	held      int64
	received  bool      // the whole request was received: it is not ended any more
	ended     bool      // to make room for others
	movedLast time.Time // when it made progress last
}

// NewUpload returns an upload without bytes. end is called at most once, when the budget is spent and the
// upload stands still. It must not block and must lead to a call of Release. NewUpload returns nil for a nil
// budget.
func (b *Budget) NewUpload(now time.Time, end func()) *Upload {
	if b == nil {
		return nil
	}
	return &Upload{budget: b, end: end, movedLast: now}
}

// Grow accounts n more bytes. It returns false, and accounts nothing, if there is no room or this upload was
// ended.
func (u *Upload) Grow(n int, now time.Time) bool {
	if u == nil || n == 0 {
		return true
	}
	granted, victims := u.budget.growUpload(u, int64(n), now)
	for _, v := range victims {
		v.end()
	}
	return granted
}

// growUpload accounts the bytes and returns the uploads that must be ended.
func (b *Budget) growUpload(u *Upload, n int64, now time.Time) (granted bool, victims []*Upload) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.ended {
		return false, nil
	}
	for !b.roomForBody(n) {
		v := b.longestStalled(u, now)
		if v == nil {
			b.refused++
			return false, victims
		}
		v.ended = true
		delete(b.uploads, v)
		b.bodies -= v.held
		b.ending += v.held
		b.stalled++
		victims = append(victims, v)
	}
	u.held += n
	b.bodies += n
	if !u.received {
		b.uploads[u] = struct{}{}
	}
	return true, victims
}

// longestStalled returns the upload that has stood still longest, and for minStall, other than u; nil if there
// is none. It looks at all uploads, which is needed only when the budget is spent.
func (b *Budget) longestStalled(u *Upload, now time.Time) (longest *Upload) {
	for other := range b.uploads {
		if other != u && now.Sub(other.movedLast) >= minStall && (longest == nil || other.movedLast.Before(longest.movedLast)) {
			longest = other
		}
	}
	return longest
}

// Progress notes that the request has made progress. Single bytes should not count as progress.
func (u *Upload) Progress(now time.Time) {
	if u == nil {
		return
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.movedLast = now
}

// Received notes that the whole request was received. It returns false if the upload was ended before.
func (u *Upload) Received() bool {
	if u == nil {
		return true
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.received = true
	delete(u.budget.uploads, u)
	return !u.ended
}

// Receiving notes that more of the request is awaited, after Received.
func (u *Upload) Receiving() {
	if u == nil {
		return
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.received = false
	if u.held > 0 && !u.ended {
		u.budget.uploads[u] = struct{}{}
	}
}

// Ended reports whether the upload was ended to make room for others.
func (u *Upload) Ended() bool {
	if u == nil {
		return false
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.ended
}

// Held returns the accounted bytes.
func (u *Upload) Held() int64 {
	if u == nil {
		return 0
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.held
}

// Release releases all bytes. Later calls of Grow return false.
func (u *Upload) Release() {
	if u == nil {
		return
	}
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.ended {
		b.ending -= u.held
	} else {
		b.bodies -= u.held
	}
	u.held, u.ended = 0, true
	delete(b.uploads, u)
}
