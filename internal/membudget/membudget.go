// Package membudget bounds the memory that a daemon holds on behalf of its peers: request bodies,
// complete responses, large response heads and events, and events that a caller has not read yet.
//
// There are three kinds of users. A body is refused when the budget is spent. An Upload belongs to a request
// of a caller: when the budget is spent, uploads that have stood still for minStall are ended, and if that is
// not enough, the one that asks is refused. A Holder belongs to a stream, which can be ended: when the budget
// is spent, the holders with the most bytes are ended.
package membudget

import "sync"

// maxBodyShare is the part of the budget that bodies may use. Without it, bodies alone could use the whole
// budget, and each stream whose caller reads late would be ended.
const maxBodyShare = 0.75

// Budget is the limit of one daemon. A nil Budget sets no limit. Safe for concurrent use.
type Budget struct {
	limit int64 // bytes

	mu      sync.Mutex
	bodies  int64
	streams int64                // of holders that have not been ended
	ending  int64                // of holders that have been ended and have not released their bytes yet
	holders map[*Holder]struct{} // with bytes, not ended
	uploads map[*Upload]struct{} // with bytes, still being received, not ended
	refused uint64
	ended   uint64
	stalled uint64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}, uploads: map[*Upload]struct{}{}}
}

// Usage is the state of a budget, in bytes, and the decisions taken since the start.
type Usage struct {
	Limit, Bodies, Streams, Ending int64
	Refused                        uint64 // bodies for which there was no room
	Ended                          uint64 // holders ended
	Stalled                        uint64 // uploads ended
}

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Bodies: b.bodies, Streams: b.streams, Ending: b.ending, Refused: b.refused, Ended: b.ended, Stalled: b.stalled}
}

// TakeBody accounts n more bytes of a body. It returns false, and accounts nothing, if there is no room.
func (b *Budget) TakeBody(n int) bool {
	if b == nil || n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.roomForBody(int64(n)) {
		b.refused++
		return false
	}
	b.bodies += int64(n)
	return true
}

// roomForBody reports whether n more bytes of bodies are within the limits. b.mu must be held.
func (b *Budget) roomForBody(n int64) bool {
	return b.bodies+n <= int64(maxBodyShare*float64(b.limit)) && b.bodies+b.streams+n <= b.limit
}

// ReleaseBody undoes TakeBody.
func (b *Budget) ReleaseBody(n int) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= int64(n)
}

// Holder accounts the bytes held for one stream. A nil Holder accounts nothing. Safe for concurrent use.
type Holder struct {
	budget *Budget
	end    func()
	held   int64 // guarded by budget.mu, like ended
	ended  bool
}

// NewHolder returns a holder without bytes. end is called at most once, when the budget is spent and no
// other holder has more bytes. It must not block and must lead to a call of Close. NewHolder returns nil
// for a nil budget.
func (b *Budget) NewHolder(end func()) *Holder {
	if b == nil {
		return nil
	}
	return &Holder{budget: b, end: end}
}

// Grow accounts n more bytes. If the budget is spent, it ends the holders with the most bytes, whose memory
// is released soon after. It returns false, and accounts nothing, if this holder is ended.
func (h *Holder) Grow(n int) bool {
	if h == nil {
		return true
	}
	granted, victims := h.budget.grow(h, int64(n))
	for _, v := range victims {
		v.end()
	}
	return granted
}

// grow accounts the bytes and returns the holders that must be ended.
func (b *Budget) grow(h *Holder, n int64) (granted bool, victims []*Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.ended && b.bodies+b.streams+n > b.limit {
		v := b.largest(h, n)
		v.ended = true
		delete(b.holders, v)
		b.streams -= v.held
		b.ending += v.held
		b.ended++
		victims = append(victims, v)
	}
	if h.ended {
		return false, victims
	}
	h.held += n
	b.streams += n
	b.holders[h] = struct{}{}
	return true, victims
}

// largest returns the holder with the most bytes, where h already has the n bytes that it asks for. It
// looks at all holders, which is needed only when the budget is spent.
func (b *Budget) largest(h *Holder, n int64) *Holder {
	out, most := h, h.held+n
	for other := range b.holders {
		if other != h && other.held > most {
			out, most = other, other.held
		}
	}
	return out
}

// Shrink releases n bytes.
func (h *Holder) Shrink(n int) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(int64(n))
}

// release releases n bytes, with budget.mu held.
func (h *Holder) release(n int64) {
	h.held -= n
	if h.ended {
		h.budget.ending -= n
	} else {
		h.budget.streams -= n
	}
}

// Close releases all bytes. Later calls of Grow return false.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(h.held)
	h.ended = true
	delete(h.budget.holders, h)
}

// Held returns the accounted bytes.
func (h *Holder) Held() int64 {
	if h == nil {
		return 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}
