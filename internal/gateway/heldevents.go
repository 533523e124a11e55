package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
	"pearlanding/internal/upstream"
)

// Limits of events held for a caller that reads slowly.
const (
	// slowWriteTime is how long a write to the caller may block before another goroutine reads the replica,
	// which would cut off an answer that stays unread for some seconds. It is longer than the time for
	// which a process with a small CPU quota is usually not scheduled.
	slowWriteTime = 100 * time.Millisecond
	// maxHeldBytes limits what is held for one caller, in bytes. The largest event (maxEventBytes) fits.
	maxHeldBytes = 1 << 20
	// heldBlockBytes is the size of the blocks in which events are held and written; a larger event has a
	// block of its own.
	heldBlockBytes = 4 << 10
)

// errReadElsewhere means that another goroutine has read the rest of the answer, and that all of it was
// handled.
const errReadElsewhere = errors.ConstError("gateway: another goroutine reads the stream")

// errCallerTooSlow is the cause with which a stream ends because too much is held for its caller.
const errCallerTooSlow = errors.ConstError("gateway: caller reads too slowly")

// reasonSlowCaller means that the caller read so slowly that the stream was ended.
const reasonSlowCaller = "caller_reads_too_slowly"

// heldEvents passes events from the goroutine that reads a stream to the one that writes it to the caller.
// While the caller reads in time there is only one goroutine, of the caller's request. When a write
// blocks, the goroutine of the timer takes over everything but the writing, until the end of the answer.
// Events are held in the order in which the handover accepted them, across successors, so that none is
// lost or repeated.
type heldEvents struct {
	timer *time.Timer // runs while a write is in progress; set with mu held
	// elsewhere means that the timer's goroutine reads the stream. It is set, with mu held, while the
	// request's goroutine is in a write. That one reads it after endWrite, so that neither needs mu for it.
	elsewhere bool

	mu         sync.Mutex
	handover   *handover // of the write in progress; nil: there is none
	changed    sync.Cond // blocks, ended or err have changed
	blocks     [][]byte
	bytes      int   // in blocks, by capacity
	ended      bool  // no further event is held
	err        error // why writing has ended early
	closed     bool  // the request has ended; its writer must not be used
	holder     *membudget.Holder
	done       chan struct{} // closed when the reading goroutine has ended
	stopExpiry func() bool
}

// beginWrite starts to watch a write of an event to the caller.
func (x *exchange) beginWrite(h *handover) {
	c := &x.held
	c.mu.Lock()
	defer c.mu.Unlock() // checkWrite, which may run at once, uses the timer
	c.handover = h
	if c.timer == nil {
		c.timer = time.AfterFunc(slowWriteTime, x.checkWrite)
	} else {
		c.timer.Reset(slowWriteTime)
	}
}

// endWrite ends the watch of a write. It returns whether another goroutine reads the stream now.
func (c *heldEvents) endWrite() (elsewhere bool) {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = nil
	return c.elsewhere
}

// checkWrite continues to read the stream in this goroutine if the write in progress takes too long.
func (x *exchange) checkWrite() {
	c := &x.held
	h := x.takeOverReading()
	if h == nil {
		return
	}
	defer close(c.done)
	defer c.end()
	x.gateway.Metrics.set.GetOrCreateCounter("pearlanding_streams_held_total").Inc()
	x.readOn(h)
}

// takeOverReading makes this goroutine the one that reads the stream if the write in progress takes too long.
// It returns the handover of that write, nil if there is no write or it may take longer.
func (x *exchange) takeOverReading() *handover {
	c := &x.held
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.handover
	if h == nil || c.elsewhere {
		return nil
	}
	if remaining := slowWriteTime - x.gateway.runClockNow().Sub(h.from.eventAt); remaining > 0 {
		c.timer.Reset(remaining) // the timer also ran while this process was not scheduled
		return nil
	}
	c.elsewhere, c.changed.L, c.done = true, &c.mu, make(chan struct{})
	c.holder = x.gateway.Memory.NewHolder(func() { x.endSlowCaller("daemon") })
	c.stopExpiry = context.AfterFunc(h.ctx, func() { c.expire(x, h.ctx.Err()) })
	return h
}

// readOn reads a stream, and its successors, to the end of the answer. The request's goroutine is still
// writing the last event of h.
func (x *exchange) readOn(h *handover) {
	h.from.events.detach()
	h.eventPassedOn()
	ev, err := x.nextEvent(h.from, &x.progress)
	successor, err := x.endPass(h.ctx, h, x.copyEvents(ev, err, h))
	if err != nil && !x.streamFailedForGood(h.ctx, successor) {
		x.passStreams(h.ctx, successor)
	}
}

// end notes that no further event is held.
func (c *heldEvents) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.changed.Signal()
}

// holdEvent holds an event for the caller. The error is errCallerTooSlow, or why writing ended early.
func (x *exchange) holdEvent(raw []byte) error {
	c := &x.held
	need, err := c.append(raw, nil)
	if need == 0 || err != nil {
		return err
	}
	if c.size()+need > maxHeldBytes+heldBlockBytes {
		x.endSlowCaller("stream")
		return errCallerTooSlow
	}
	if !c.holder.Grow(need) {
		x.endSlowCaller("daemon") // another goroutine may not have called it yet
		return errCallerTooSlow
	}
	_, err = c.append(raw, make([]byte, 0, need))
	return err
}

// append adds an event to the last block, or to a new one if block is not nil. need is 0 if it was added,
// else the size of the new block that it needs. The error is why writing ended early.
func (c *heldEvents) append(raw, block []byte) (need int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if block != nil {
		c.blocks = append(c.blocks, block)
		c.bytes += cap(block)
	}
	last := len(c.blocks) - 1
	if last < 0 || len(c.blocks[last])+len(raw) > cap(c.blocks[last]) {
		return max(len(raw), heldBlockBytes), nil
	}
	c.blocks[last] = append(c.blocks[last], raw...)
	c.changed.Signal()
	return 0, nil
}

// size returns how many bytes are held, without the block that is being written.
func (c *heldEvents) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// take returns the next block to write. It waits for one, and returns nil after the last one or when
// writing has ended early.
func (c *heldEvents) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.blocks) == 0 && !c.ended && c.err == nil {
		c.changed.Wait()
	}
	if c.err != nil || len(c.blocks) == 0 {
		return nil
	}
	block := c.blocks[0]
	c.blocks[0] = nil
	c.blocks = c.blocks[1:]
	c.bytes -= cap(block)
	return block
}

// writeHeldEvents writes what another goroutine reads until the end of the answer. err is the result of the
// write that blocked.
func (x *exchange) writeHeldEvents(err error, flusher http.Flusher) {
	c := &x.held
	for err == nil {
		block := c.take()
		if block == nil {
			break
		}
		if _, err = x.w.Write(block); err == nil {
			flusher.Flush()
		}
		c.holder.Shrink(cap(block))
	}
	if err != nil {
		c.mu.Lock()
		c.fail(x, errors.Annotate(err, "caller"))
		c.mu.Unlock()
	}
	<-c.done
	c.stopExpiry()
	c.mu.Lock()
	err, c.closed = c.err, true
	c.mu.Unlock()
	c.holder.Close()
	x.failHeld(err)
}

// failHeld aborts the answer if not all of it was written.
func (x *exchange) failHeld(err error) {
	switch {
	case err == nil || x.endedForMemory():
	case errors.Is(err, context.DeadlineExceeded):
		x.setReason("deadline")
		markAborted(x)
	default:
		x.setReason("caller_left")
		markAborted(x)
	}
}

// fail ends the writing early, and the request with it. c.mu is held. The request ends before the reading
// goroutine sees the error, so that its replica is not blamed.
func (c *heldEvents) fail(x *exchange, err error) {
	if c.err != nil {
		return
	}
	c.err, c.blocks, c.bytes = err, nil, 0
	x.cancelRequest()
	if !c.closed {
		x.setWriteDeadline(link.DeadlineAfter(0)) // ends a write that blocks
	}
	c.changed.Signal()
}

// expire ends the writing because the request has ended.
func (c *heldEvents) expire(x *exchange, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.fail(x, err)
	}
}

// endSlowCaller ends a stream because too much is held for its caller, or for all peers of the daemon. It
// must not be called with c.mu held. Safe for concurrent use.
func (x *exchange) endSlowCaller(limit string) {
	c := &x.held
	held := c.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.err != nil {
		return
	}
	c.fail(x, errCallerTooSlow)
	x.gateway.noteStreamEnded(x.req.ID, "caller", limit, held)
}

// endedForMemory reports whether the stream was ended because too much was held for its caller, and marks
// the request as aborted then.
func (x *exchange) endedForMemory() bool {
	c := &x.held
	c.mu.Lock()
	ended := errors.Is(c.err, errCallerTooSlow)
	c.mu.Unlock()
	if ended {
		x.setReason(reasonSlowCaller)
		markAborted(x)
	}
	return ended
}

// newStreamReader returns the reader of a send's events. The send ends if its event is the largest thing
// that is held when the budget of the daemon is spent.
func (x *exchange) newStreamReader(s *streamSend) *eventReader {
	s.body = &timedBody{Reader: s.resp.Body, clock: x.gateway.Clock}
	r := newEventReader(s.body)
	r.memory = x.gateway.Memory
	r.onEnd = func() {
		s.cancelSend(upstream.ErrMemory)
		x.gateway.noteStreamEnded(x.req.ID, "instance", "daemon", int(r.holder.Held()))
	}
	return r
}

// noteStreamEnded counts and logs a stream that was ended for the memory that it held. peer is the one that
// caused it, "caller" or "instance", and limit whose limit was reached, "stream" or "daemon".
func (g *Gateway) noteStreamEnded(id, peer, limit string, held int) {
	g.Metrics.set.GetOrCreateCounter(`pearlanding_streams_ended_for_memory_total{peer="` + peer + `",limit="` + limit + `"}`).Inc()
	u := g.Memory.Usage()
	g.Log.Warn("stream ended for its memory", zap.String("id", id), zap.String("peer", peer), zap.String("limit", limit), zap.Int("held_bytes", held),
		zap.Int64("streams_bytes", u.Streams), zap.Int64("bodies_bytes", u.Bodies), zap.Int64("limit_bytes", u.Limit))
}
