package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/upstream"
)

// Silence after which a stream goes on at another replica, if it may.
const (
	// firstEventTimes is how many times the objective a first event may take at a
	// replica of which nothing else is known. Where other streams bring events the
	// request only waits its turn, and moving would add load to an overload.
	firstEventTimes = 1.5
	// defaultFirstEvent stands in for a route without an objective.
	defaultFirstEvent = 2 * time.Second
	// checkEvery is how often a silent stream's replica is looked at.
	checkEvery = 50 * time.Millisecond
	// defaultGap stands in for a route without an objective for pauses.
	defaultGap = time.Second
)

// errSilent ends a send whose stream stands still while another replica may go on.
const errSilent = errors.ConstError("gateway: stream stands still")

// stream passes events on as they come. A stream that stands still or breaks
// goes on at another replica after the last event passed on.
func (x *exchange) stream(ctx context.Context) {
	if id, err := strconv.ParseInt(x.req.LastEvent, 10, 64); err == nil {
		x.lastEvent, x.hasLast = id, true
	}
	if x.overloaded() {
		x.refuse(http.StatusServiceUnavailable, "no_replica_in_time", retryOverload)
		return
	}
	for {
		t := x.next()
		if t == nil {
			x.giveUp("no_replica")
			return
		}
		if x.run(ctx, t) {
			return
		}
		if ctx.Err() != nil {
			x.timedOut(ctx)
			return
		}
		if x.mayRun && !x.route.Repeatable() {
			x.giveUp("upstream_failed")
			return
		}
	}
}

// queueShare is the part of what the objective leaves beyond the quickest first
// event that a queue may take when a new stream is admitted. Beyond it the stream
// would come late, and so would those behind it; refused at once it may be in time
// elsewhere, or later.
const queueShare = 0.3

// overloaded tells whether the first event would come late wherever the request
// went.
func (x *exchange) overloaded() bool {
	picker, objective, targets := x.gateway.Picker, x.route.Objective, x.targets()
	x.replicas, x.floor = len(targets), min(picker.Floor(x.req.Model), objective)
	var known bool
	x.expected, known = picker.soonest(targets, x.now)
	return objective > 0 && known && x.expected > x.floor+time.Duration(queueShare*float64(objective-x.floor))
}

// run makes one send; true: the request is answered, or cut for good.
func (x *exchange) run(ctx context.Context, t *target) bool {
	before, sent := x.events, time.Now()
	x.gateway.Picker.waits(t, sent)
	defer func() { x.gateway.Picker.ended(t, sent, x.events > before) }()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.watch(t, cancel)
	defer watch.Stop()
	last := x.req.LastEvent
	if x.hasLast {
		last = strconv.FormatInt(x.lastEvent, 10)
	}
	resp, err := x.send(attempt, t, last)
	if err != nil {
		x.broke(attempt, t, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, err := upstream.ReadWhole(resp, maxAnswerBytes)
		if err != nil {
			x.broke(attempt, t, err)
			return false
		}
		if x.begun {
			x.ended("refused " + resp.Status)
			x.gateway.Picker.suspect(t, time.Now())
			return false
		}
		return x.answered(t, resp, body)
	}
	if !x.gateway.Codec.Signed(resp.Header) {
		x.broke(attempt, t, errors.New("answer without signature"))
		return false
	}
	if err := x.relay(t, sent, resp, watch); err != nil {
		x.broke(attempt, t, err)
		return false
	}
	x.ended("answered")
	return true
}

// watch ends the send when its stream stands still and may go on elsewhere. It
// is reset with each event.
func (x *exchange) watch(t *target, cancel context.CancelCauseFunc) *watcher {
	w := &watcher{}
	if !x.route.Repeatable() || x.sent+1 >= x.route.Attempts {
		w.timer = time.AfterFunc(time.Hour, func() {})
		return w
	}
	patience := defaultFirstEvent
	if x.route.Objective > 0 {
		patience = time.Duration(float64(x.route.Objective) * firstEventTimes)
	}
	sent, elsewhere, picker := time.Now(), x.elsewhere(t), x.gateway.Picker
	w.arm(max(t.quiet, quietLeast), func() bool {
		now := time.Now()
		stands := picker.health(t.instance, now) == still
		waiting := picker.health(t.instance, now) == alive && !w.begun.Load()
		if !stands && (waiting || !w.begun.Load() && now.Sub(sent) < patience) || !elsewhere() {
			return true
		}
		cancel(errSilent)
		return false
	})
	return w
}

// elsewhere returns a test, safe for any goroutine, whether another replica could
// take the stream over now.
func (x *exchange) elsewhere(t *target) func() bool {
	tried := maps.Clone(x.tried)
	service, model, g := x.service, x.req.Model, x.gateway
	return func() bool {
		if g.budgets.of(service.Name).Left(g.Bounds().Retry, time.Now()) < 1 {
			return false
		}
		return slices.ContainsFunc(listTargets(g.View(), service, model), func(o target) bool {
			return o.instance != t.instance && !tried[o.instance] && g.Picker.health(o.instance, time.Now()) != still
		})
	}
}

// watcher is a timer that asks again as long as its function returns true.
type watcher struct {
	begun   atomic.Bool // an event came
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *watcher) arm(limit time.Duration, expired func() bool) {
	w.timer = time.AfterFunc(limit, func() {
		if expired() {
			w.Reset(checkEvery)
		}
	})
}

// Reset starts the time anew.
func (w *watcher) Reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && w.timer != nil {
		w.timer.Reset(d)
	}
}

// Stop ends the watch for good.
func (w *watcher) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// gap is the longest pause between events.
func (x *exchange) gap() time.Duration {
	if x.route.Gap > 0 {
		return x.route.Gap
	}
	return defaultGap
}

// relay passes the events of one answer on. nil: the stream is whole.
func (x *exchange) relay(t *target, sent time.Time, resp *http.Response, watch *watcher) error {
	reader := newEventReader(resp.Body)
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return errors.New("answer can't be passed on piece by piece")
	}
	for {
		ev, err := reader.next()
		if err == io.EOF && x.events > 0 {
			if !x.begun {
				x.head(resp, -1)
			}
			return nil
		}
		if err == io.EOF {
			return errors.New("stream without events")
		}
		if err != nil {
			return err
		}
		if ev.hasID && x.hasLast && ev.id <= x.lastEvent {
			continue // passed on before
		}
		watch.Reset(x.gap())
		now := time.Now()
		x.gateway.Picker.progressed(t, now)
		if !watch.begun.Swap(true) {
			x.gateway.Picker.runs(t, x.req.Model, sent, now)
		}
		if x.begun {
			x.maxGap = max(x.maxGap, now.Sub(x.eventAt))
		} else {
			x.firstAt = now.Sub(x.now)
			x.head(resp, -1)
		}
		x.eventAt = now
		x.events++
		if _, err := x.w.Write(ev.raw); err != nil {
			return errors.Annotate(err, "caller")
		}
		if ev.hasID {
			x.lastEvent, x.hasLast = ev.id, true
		}
		if !reader.more() {
			flusher.Flush()
		}
	}
}

// broke judges a send whose stream did not come to its end.
func (x *exchange) broke(attempt context.Context, t *target, err error) {
	x.ended(cause(attempt, err))
	if errors.Is(context.Cause(attempt), errSilent) {
		x.gateway.Picker.stopped(t, time.Now())
	}
	if attempt.Err() == nil || errors.Is(context.Cause(attempt), errSilent) {
		x.gateway.Picker.suspect(t, time.Now())
	}
	if !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrBusy) {
		x.mayRun = true
	}
}
