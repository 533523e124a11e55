package enginefake

import (
	"container/heap"
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pearlanding/internal/engine"
)

// waiter is a request that waits for a slot of the batch.
type waiter struct {
	priority int // higher first
	seq      uint64
	granted  chan struct{}
	index    int
}

// requestQueue is a heap of waiting requests by priority, then arrival.
type requestQueue struct {
	items []*waiter
	seq   uint64
}

func (q *requestQueue) Len() int { return len(q.items) }
func (q *requestQueue) Less(i, j int) bool {
	if q.items[i].priority != q.items[j].priority {
		return q.items[i].priority > q.items[j].priority
	}
	return q.items[i].seq < q.items[j].seq
}
func (q *requestQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}
func (q *requestQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.items)
	q.items = append(q.items, w)
}
func (q *requestQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	last.index = -1
	return last
}

// acquire waits for a slot of the batch. It returns an error if ctx ends first.
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

// releaseLocked passes the slot on to the next waiter. The caller holds mu.
func (e *Engine) releaseLocked() {
	if e.queue.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.queue).(*waiter).granted)
}

// maxCacheEntries is the capacity of an engine's prefix cache.
const maxCacheEntries = 64

// prefixCache holds the most recently used prompt prefixes, and the events about changes.
type prefixCache struct {
	order  []uint64
	events []engine.CacheEvent
	seq    uint64
}

// touch marks a prefix as most recently used and reports whether it was cached.
func (c *prefixCache) touch(prefix uint64) bool {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return true
		}
	}
	c.order = append(c.order, prefix)
	c.publish(prefix, false)
	if len(c.order) > maxCacheEntries {
		c.publish(c.order[0], true)
		c.order = c.order[1:]
	}
	return false
}

// publish adds an event. Every seventh one is dropped, because real engines lose events too.
func (c *prefixCache) publish(prefix uint64, evicted bool) {
	c.seq++
	if c.seq%7 == 0 {
		return
	}
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted})
	if len(c.events) > 4*maxCacheEntries {
		c.events = c.events[1:]
	}
}

// Token returns the i-th token that the stand-in generates for a prompt. It is a pure
// function, so a test can check that an answer is complete and correct.
func Token(prompt string, i int) string {
	return fmt.Sprintf("w%04x ", xxhash.Sum64String(fmt.Sprintf("%s#%d", prompt, i))&0xffff)
}

// Answer returns the text of the first n tokens for a prompt.
func Answer(prompt string, n int) string {
	out := ""
	for i := range n {
		out += Token(prompt, i)
	}
	return out
}
