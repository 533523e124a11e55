package enginefake

import (
	"container/heap"
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pearlanding/internal/engine"
)

// waiter is one request waiting for a slot of the batch.
type waiter struct {
	priority int // higher first
	seq      uint64
	granted  chan struct{}
	index    int
}

// waitQueue orders waiting requests by priority, then arrival.
type waitQueue struct {
	items []*waiter
	seq   uint64
}

func (q *waitQueue) Len() int { return len(q.items) }
func (q *waitQueue) Less(i, j int) bool {
	if q.items[i].priority != q.items[j].priority {
		return q.items[i].priority > q.items[j].priority
	}
	return q.items[i].seq < q.items[j].seq
}
func (q *waitQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.items)
	q.items = append(q.items, w)
}
func (q *waitQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	last.index = -1
	return last
}

// acquire waits for a slot of the batch.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.opts.Slots {
		e.running++
		e.mu.Unlock()
		return nil
	}
	e.queue.seq++
	w := &waiter{priority: priority, seq: e.queue.seq, granted: make(chan struct{})}
	heap.Push(&e.queue, w)
	e.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&e.queue, w.index)
	} else {
		e.releaseLocked()
	}
	return ctx.Err()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

// releaseLocked hands the slot to the next waiter. Caller holds mu.
func (e *Engine) releaseLocked() {
	if e.queue.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.queue).(*waiter).granted)
}

// cacheEntries bounds the prefix cache of one engine.
const cacheEntries = 64

// prefixCache remembers the last prompt prefixes and the events about them.
type prefixCache struct {
	order  []uint64
	events []engine.CacheEvent
	seq    uint64
}

// touch notes a prefix as most recent and tells whether it was cached.
func (c *prefixCache) touch(prefix uint64) bool {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return true
		}
	}
	c.order = append(c.order, prefix)
	c.note(prefix, false)
	if len(c.order) > cacheEntries {
		c.note(c.order[0], true)
		c.order = c.order[1:]
	}
	return false
}

// note publishes an event; every seventh is lost, as the real ones are.
func (c *prefixCache) note(prefix uint64, evicted bool) {
	c.seq++
	if c.seq%7 == 0 {
		return
	}
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted})
	if len(c.events) > 4*cacheEntries {
		c.events = c.events[1:]
	}
}

// Token is the i-th token the stand-in generates for a prompt: a pure function,
// so that a checker can tell whole and right answers from others.
func Token(prompt string, i int) string {
	return fmt.Sprintf("w%04x ", xxhash.Sum64String(fmt.Sprintf("%s#%d", prompt, i))&0xffff)
}

// Answer is the whole text of n tokens for a prompt.
func Answer(prompt string, n int) string {
	out := ""
	for i := range n {
		out += Token(prompt, i)
	}
	return out
}
