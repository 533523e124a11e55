package relay

import (
	"sync"
	"time"

	"pearlanding/internal/objectapi"
)

// Bounds of what a relay remembers and tells.
const (
	// historyEvents is how many changes are remembered. Sixty engines that are
	// replaced one after the other make some hundreds; an entry takes half a KB.
	historyEvents = 1024
	// replyEvents bounds one answer; a peer that lacks more lists from the store.
	replyEvents = 256
)

// batch is one answer of the store: all changes after one revision up to another.
type batch struct {
	from, to uint64
	events   []objectapi.Event
}

// configProof is the newest version of the configuration that a read showed.
type configProof struct {
	seq     uint64 // rises with each read
	version uint64 // of the store's object
	proved  time.Time
}

// history is what a daemon that follows the store itself can tell its peers. Safe
// for concurrent use; time is passed in.
type history struct {
	mu      sync.Mutex
	batches []batch // each begins where the one before ends
	events  int     // in all batches
	known   bool
	end     uint64    // revision up to which all changes are known
	proved  time.Time // when the store was last asked for what is known
	config  configProof
	news    chan struct{} // closed at the next change
}

func newHistory() *history { return &history{news: make(chan struct{})} }

// listed starts anew: everything up to a revision is known, nothing of how it came
// about.
func (h *history) listed(revision uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.batches, h.events, h.known, h.end, h.proved = nil, 0, true, revision, asked
	h.wake()
}

// followed takes in an answer to a call that asked for the changes after a revision.
func (h *history) followed(after uint64, c objectapi.Changes, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || after != h.end {
		h.batches, h.events, h.known, h.end = nil, 0, true, after
	}
	h.proved = asked
	if len(c.Events) == 0 {
		return
	}
	h.batches = append(h.batches, batch{after, c.Revision, c.Events})
	h.events += len(c.Events)
	h.end = c.Revision
	for len(h.batches) > 1 && h.events > historyEvents {
		h.events -= len(h.batches[0].events)
		h.batches = h.batches[1:]
	}
	h.wake()
}

// noteConfig takes in a read of the configuration.
func (h *history) noteConfig(version uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = configProof{h.config.seq + 1, version, asked}
	h.wake()
}

// wake lets everyone look again; h.mu is held.
func (h *history) wake() {
	close(h.news)
	h.news = make(chan struct{})
}

// after returns the changes after a revision, with the revision that they lead to.
// gap: the way from there to here is not remembered, or too long.
func (h *history) after(revision uint64) (events []objectapi.Event, end uint64, gap bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := h.end
	if len(h.batches) > 0 {
		start = h.batches[0].from
	}
	if !h.known || revision < start {
		return nil, 0, true
	}
	for _, b := range h.batches {
		if b.to > revision {
			events = append(events, b.events...)
		}
	}
	return events, max(h.end, revision), len(events) > replyEvents
}

// state returns what is proved, and a channel that is closed when it changes.
func (h *history) state() (entries time.Time, config configProof, news <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proved, h.config, h.news
}
