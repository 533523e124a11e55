package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
)

// A stream of moveRig: its replica sends eventsBeforePause events, pauses, and sends the others.
const (
	streamEvents      = 8
	eventsBeforePause = 3
	eventInterval     = 20 * time.Millisecond
	// stallTimeout is the silence after which the route's streams are moved.
	stallTimeout = 200 * time.Millisecond
	// longPause is a pause after which a successor has failed in every way.
	longPause = 5 * stallTimeout
	// maxLingering is how long after the end of a request a replica may still work on it.
	maxLingering = 100 * time.Millisecond
)

// streamRoute is a route whose requests may run at some replicas.
func streamRoute(attempts int) routes.Route {
	return routes.Route{Name: "r", Host: "host", Prefix: "/s/", Kind: routes.Stream, Resumable: true, Public: true, MaxAttempts: attempts,
		LatencyObjective: 2 * stallTimeout, EventGapObjective: stallTimeout, Split: []routes.WeightedService{{Service: simService, Weight: 1}}}
}

// moveRig is one stream whose replica pauses, and the successors to which the gateway may move it.
type moveRig struct {
	*simFleet
	*simProcess
	rigOptions
	dials   atomic.Int64
	paused  chan struct{} // closed when the replica begins its pause
	resumed chan struct{} // closed when the pause ends: by endPause, or after longPause
	endOnce sync.Once
	// Behavior of the successors; n counts from 1. nil: they connect, and continue the stream.
	connectSuccessor func(ctx context.Context, n int64) error
	serveSuccessor   func(s *simSend, n int64)
	// serveFirst, if set, replaces the pause of the first replica and what follows.
	serveFirst func(s *simSend)
}

// rigOptions are the limits on moves of the stream.
type rigOptions struct {
	replicas int
	attempts int // of the route
	retries  int // that the budget allows
}

// newMoveRig returns a stream's replica and successors.
func newMoveRig(ctx context.Context, o rigOptions) *moveRig {
	ids := []string{"a", "b", "c", "d"}[:o.replicas]
	r := &moveRig{rigOptions: o, simFleet: newSimFleet(ids...), paused: make(chan struct{}), resumed: make(chan struct{})}
	first := atomic.Pointer[string]{}
	r.simFleet.connect = func(ctx context.Context, replica string) error {
		if first.CompareAndSwap(nil, &replica) {
			return nil
		}
		n := r.dials.Add(1)
		if r.connectSuccessor == nil {
			return nil
		}
		return r.connectSuccessor(ctx, n)
	}
	r.simFleet.serve = func(s *simSend) {
		switch {
		case s.replica == *first.Load() && s.lastEventID == 0:
			r.serveWithPause(s)
		case r.serveSuccessor != nil:
			r.serveSuccessor(s, r.dials.Load())
		default:
			continueStream(s)
		}
	}
	rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
	r.simProcess = newSimProcess(ctx, r.simFleet, streamRoute(o.attempts), rule, func(int) int { return 0 })
	for range o.retries { // the stream itself accrues a credit of 0.9, too
		r.gateway.Budgets.For(simService).CountRequest(rule, r.gateway.Clock.Now())
	}
	return r
}

// serveWithPause answers as a replica that works and pauses.
func (r *moveRig) serveWithPause(s *simSend) {
	s.header()
	if !s.events(1, eventsBeforePause, eventInterval) {
		return
	}
	close(r.paused)
	if r.serveFirst != nil {
		r.serveFirst(s)
		return
	}
	end := time.AfterFunc(longPause, r.endPause)
	defer end.Stop()
	if waitFor(s, r.resumed) {
		r.resume(s)
	}
}

// endPause ends the pause of the first replica now.
func (r *moveRig) endPause() { r.endOnce.Do(func() { close(r.resumed) }) }

// resume sends the events after the pause, the first of them at once.
func (r *moveRig) resume(s *simSend) {
	s.event(eventsBeforePause + 1)
	if s.events(eventsBeforePause+2, streamEvents, eventInterval) {
		s.finish()
	}
}

// finishStream sends the events after the first ones, and the end of the answer.
func finishStream(s *simSend) {
	if s.events(eventsBeforePause+1, streamEvents, eventInterval) {
		s.finish()
	}
}

// continueStream answers as a replica that works, after the last event that the caller has.
func continueStream(s *simSend) {
	s.header()
	if s.events(s.lastEventID+1, streamEvents, eventInterval) {
		s.finish()
	}
}

// run runs a stream to its end and checks that the caller got its answer and that no more
// instances ran it than the route and the budget allow.
func (r *moveRig) run(t *testing.T) *simCaller {
	t.Helper()
	c := r.call("x", streamEvents)
	select {
	case <-c.done:
	case <-time.After(20 * time.Second):
		c.leave()
		<-c.done
	}
	r.check(t)
	must.True(t, c.complete(t), must.Sprintf("the begun stream was cut after %d of %d events; its sends: %s; %s", len(c.received(t)), c.events, r.describeSends(), r.logOf("x")))
	must.SliceLen(t, 1, c.header["Signature"])
	return c
}

// check checks the sends of the stream after its end.
func (r *moveRig) check(t *testing.T) {
	t.Helper()
	time.Sleep(maxLingering)
	must.SliceEmpty(t, r.openSends(), must.Sprint("replicas work on for nobody"))
	sends, ran := r.sendsOf("x"), 0
	for _, s := range sends {
		if !s.notRun.Load() {
			ran++
		}
	}
	must.LessEq(t, r.attempts, ran, must.Sprint("sends: ", r.describeSends()))
	must.LessEq(t, max(r.retries, 1), len(sends)-1, must.Sprint("retries"))
}

// describeSends describes the sends of the stream.
func (r *moveRig) describeSends() (out []string) {
	for _, s := range r.sendsOf("x") {
		text := s.replica
		switch {
		case s.failed.Load():
			text += " failed"
		case s.closedAt.Load() != nil:
			text += " worked and was canceled"
		default:
			text += " worked to the end"
		}
		out = append(out, text)
	}
	return out
}

// inVirtualTime runs a test in virtual time, with a rig whose daemon runs until its end.
func inVirtualTime(t *testing.T, o rigOptions, test func(t *testing.T, r *moveRig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := newMoveRig(ctx, o)
		defer time.Sleep(time.Minute) // the goroutines of the daemon and the replicas end
		defer r.simFleet.close()
		defer stop()
		test(t, r)
	})
}

// successorFailures are the ways in which a successor can fail before its first event.
var successorFailures = map[string]func(r *moveRig){
	"refuses the connection": func(r *moveRig) {
		r.connectSuccessor = func(context.Context, int64) error { return syscall.ECONNREFUSED }
	},
	"does not answer the connection": func(r *moveRig) {
		r.connectSuccessor = func(ctx context.Context, _ int64) error { <-ctx.Done(); return ctx.Err() }
	},
	"does not run it": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.refuse() }
	},
	"answers 500": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.respond(http.StatusInternalServerError, "") }
	},
	"resets after the request": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.wait(eventInterval); s.reset() }
	},
	"resets after its header": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.header(); s.wait(eventInterval); s.reset() }
	},
	"resets within its first event": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) {
			s.header()
			s.conn.response.write([]byte("20\r\nid: 4\nda"), nil)
			s.wait(eventInterval)
			s.reset()
		}
	},
	"ends without an event": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.failed.Store(true); s.header(); s.finish() }
	},
	"repeats what the caller has and resets": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) {
			s.header()
			s.events(1, eventsBeforePause, time.Millisecond)
			s.reset()
		}
	},
	"answers without a signature": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.respond(http.StatusOK, "") }
	},
	"sends nothing": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.hang() }
	},
	"sends only its header": func(r *moveRig) {
		r.serveSuccessor = func(s *simSend, _ int64) { s.header(); s.hang() }
	},
	"announces a limit while it is connected to": func(r *moveRig) {
		r.connectSuccessor = func(context.Context, int64) error {
			for _, id := range r.ids {
				setLimit(r.gateway.Gate, id, 2)
			}
			return nil
		}
	},
	"leaves while it is connected to": func(r *moveRig) {
		r.connectSuccessor = func(context.Context, int64) error {
			for _, id := range r.ids {
				now := r.gateway.Clock.Now()
				r.gateway.Gate.Observe(backpressure.Incarnation{Instance: id}, backpressure.Signals{Leaving: true}, now, now)
			}
			r.setDraining(r.ids...)
			return nil
		}
	},
	"is gone from a configuration that comes while it is connected to": func(r *moveRig) {
		r.connectSuccessor = func(context.Context, int64) error {
			r.removeRoute()
			return syscall.ECONNREFUSED
		}
	},
}

// removeRoute puts a configuration without any route into force, and takes the instances from the
// view.
func (r *moveRig) removeRoute() {
	table := routes.Compile(&routes.Config{Version: 2})
	r.config.Store(&Config{Table: table, ProvedAt: r.gateway.Clock.Now()})
	r.setDraining(r.ids...)
}

// Guards against begun streams that are cut although their replicas work: a stream was taken from a
// replica that paused, and its successors failed.
func TestBegunStreamWhoseReplicaWorksIsNotCutByItsSuccessor(t *testing.T) {
	limits := map[string]rigOptions{
		"one successor":            {replicas: 2, attempts: 3, retries: 5},
		"three successors":         {replicas: 4, attempts: 3, retries: 5},
		"two attempts":             {replicas: 4, attempts: 2, retries: 5},
		"a single retry is left":   {replicas: 4, attempts: 3, retries: 1},
		"successors for all sends": {replicas: 4, attempts: 5, retries: 5},
	}
	for limit, o := range limits {
		for name, fail := range successorFailures {
			t.Run(limit+", "+name, func(t *testing.T) {
				inVirtualTime(t, o, func(t *testing.T, r *moveRig) {
					fail(r)
					r.run(t)
				})
			})
		}
	}
}

// The same while this process is not scheduled from the successor's connection on.
func TestBegunStreamWhoseReplicaWorksIsNotCutWhileTheProcessIsNotScheduled(t *testing.T) {
	failures := map[string]func(r *moveRig){"does not fail": func(*moveRig) {}}
	for name, fail := range successorFailures {
		failures[name] = fail
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			for _, stretch := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
				inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
					fail(r)
					connect := r.connectSuccessor
					r.connectSuccessor = func(ctx context.Context, n int64) error {
						go r.unschedule(stretch)
						if connect != nil {
							return connect(ctx, n)
						}
						return nil
					}
					r.run(t)
				})
			}
		})
	}
}

// The same with a replica that does not even pause: its events are unread, as this process is busy.
func TestBegunStreamWhoseEventsAreUnreadIsNotCut(t *testing.T) {
	for name, fail := range successorFailures {
		t.Run(name, func(t *testing.T) {
			for _, late := range []time.Duration{2 * stallTimeout, 4 * stallTimeout} {
				inVirtualTime(t, rigOptions{replicas: 2, attempts: 2, retries: 5}, func(t *testing.T, r *moveRig) {
					fail(r)
					r.serveFirst = r.resume
					go func() {
						<-r.paused
						r.readLate(late)
					}()
					r.run(t)
				})
			}
		})
	}
}

// Guards against moves, and the retries and prompts that they cost, of streams whose replica is not
// silent at all: this process has not read its events yet.
func TestStreamIsNotMovedWhileItsEventsAreUnread(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 2, retries: 5}, func(t *testing.T, r *moveRig) {
		r.serveFirst = r.resume
		go func() {
			<-r.paused
			r.readLate(4 * stallTimeout)
		}()
		r.run(t)
		must.Zero(t, r.dials.Load(), must.Sprint("successors that were connected to"))
	})
}

// A successor that takes a stream over and then breaks off is followed by another one.
func TestStreamContinuesAfterSuccessorThatBreaksOff(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 3, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.serveSuccessor = func(s *simSend, n int64) {
			if n > 1 {
				continueStream(s)
				return
			}
			s.header()
			s.events(s.lastEventID+1, s.lastEventID+2, eventInterval)
			s.reset()
		}
		r.run(t)
	})
}

// Guards against events that are lost, repeated or out of order when the replica continues while its
// successor takes the stream over.
func TestBothReplicaAndSuccessorSendTheNextEvent(t *testing.T) {
	orders := map[string]func(r *moveRig, s *simSend){
		"replica first": func(r *moveRig, s *simSend) { r.endPause(); s.wait(eventInterval / 2) },
		"successor first": func(r *moveRig, s *simSend) {
			time.AfterFunc(eventInterval/2, r.endPause)
		},
		"at the same moment": func(r *moveRig, s *simSend) { r.endPause() },
		"replica before the successor's header": func(r *moveRig, s *simSend) {
			r.endPause()
			s.wait(streamEvents * eventInterval)
		},
	}
	for name, order := range orders {
		for _, fails := range []bool{false, true} {
			if fails && name == "successor first" {
				continue // the successor's event has ended the send to the replica
			}
			t.Run(name+map[bool]string{true: ", successor resets"}[fails], func(t *testing.T) {
				for range 20 {
					inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
						r.serveSuccessor = func(s *simSend, _ int64) {
							s.wait(eventInterval)
							order(r, s)
							s.header()
							if fails {
								s.reset()
								return
							}
							s.event(s.lastEventID + 1)
							if s.events(s.lastEventID+2, streamEvents, eventInterval) {
								s.finish()
							}
						}
						r.run(t)
					})
				}
			})
		}
	}
}

// Guards against streams that are cut because their replica ends while the successor is connected
// to, or before it is known that the stream must be moved.
func TestStreamContinuesWhenItsReplicaResets(t *testing.T) {
	moments := map[string]func(r *moveRig, reset func()){
		"before a move":                         func(_ *moveRig, reset func()) { reset() },
		"before a new configuration":            func(r *moveRig, reset func()) { r.onConnect(r.removeRoute); reset() },
		"while the successor is connected to":   func(r *moveRig, reset func()) { r.onConnect(reset) },
		"during a new configuration":            func(r *moveRig, reset func()) { r.onConnect(func() { r.removeRoute(); reset() }) },
		"while the successor reads the request": func(r *moveRig, reset func()) { r.onServe(reset) },
		"while the process is not scheduled": func(r *moveRig, reset func()) {
			go func() {
				<-r.paused
				time.AfterFunc(longPause/4, reset)
				r.unschedule(longPause / 2)
			}()
		},
		"before the process is not scheduled": func(r *moveRig, reset func()) {
			r.onConnect(func() { go r.unschedule(longPause / 2); reset() })
		},
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				resets := make(chan struct{})
				r.serveFirst = func(s *simSend) {
					if waitFor(s, resets) {
						s.reset()
					}
					waitFor[struct{}](s, nil)
				}
				moment(r, func() { close(resets) })
				r.run(t)
			})
		})
	}
}

// onConnect calls f when the first successor is connected to.
func (r *moveRig) onConnect(f func()) {
	r.connectSuccessor = func(_ context.Context, n int64) error {
		if n == 1 {
			f()
		}
		return nil
	}
}

// onServe calls f when the first successor has received the request.
func (r *moveRig) onServe(f func()) {
	r.serveSuccessor = func(s *simSend, n int64) {
		if n == 1 {
			f()
		}
		continueStream(s)
	}
}

// Guards against streams that wait for a replica that is silent for good although another one could
// continue them, also if the first successor fails.
func TestStreamIsMovedFromASilentReplica(t *testing.T) {
	// maxGap is the stall timeout, a check, a connection that times out and a few round trips.
	const maxGap = stallTimeout + 2*stallCheckInterval + 400*time.Millisecond + 4*eventInterval
	for name, fail := range map[string]func(r *moveRig){
		"successor works":             func(*moveRig) {},
		"first successor refuses":     successorFailures["refuses the connection"],
		"first successor is silent":   successorFailures["does not answer the connection"],
		"first successor did not run": successorFailures["does not run it"],
		"first successor resets":      successorFailures["resets after the request"],
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 3, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveFirst = (*simSend).hang
				fail(r)
				connect, serve := r.connectSuccessor, r.serveSuccessor
				if connect != nil {
					r.connectSuccessor = func(ctx context.Context, n int64) error {
						if n == 1 {
							return connect(ctx, n)
						}
						return nil
					}
				}
				if serve != nil {
					r.serveSuccessor = func(s *simSend, n int64) {
						if n == 1 {
							serve(s, n)
							return
						}
						continueStream(s)
					}
				}
				c := r.run(t)
				must.LessEq(t, maxGap, c.maxGap)
			})
		})
	}
}

// Guards against replicas that work on for a caller that has left while its stream was moved.
func TestAllSendsAreCanceledWhenTheCallerLeaves(t *testing.T) {
	leaveDuring := map[string]func(r *moveRig, leave func()){
		"connection": func(r *moveRig, leave func()) {
			r.connectSuccessor = func(ctx context.Context, _ int64) error {
				time.AfterFunc(eventInterval, leave)
				<-ctx.Done()
				return ctx.Err()
			}
		},
		"wait for the first event": func(r *moveRig, leave func()) {
			r.serveSuccessor = func(s *simSend, _ int64) { time.AfterFunc(eventInterval, leave); s.hang() }
		},
		"wait after the header": func(r *moveRig, leave func()) {
			r.serveSuccessor = func(s *simSend, _ int64) { s.header(); time.AfterFunc(eventInterval, leave); s.hang() }
		},
		"answer of the successor": func(r *moveRig, leave func()) {
			r.serveSuccessor = func(s *simSend, _ int64) { time.AfterFunc(5*eventInterval/2, leave); continueStream(s) }
		},
	}
	for name, during := range leaveDuring {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				called, left := make(chan *simCaller, 1), make(chan time.Time, 1)
				during(r, func() { left <- time.Now(); (<-called).leave() })
				c := r.call("x", streamEvents)
				called <- c
				<-c.done
				must.Eq(t, 1, len(left), must.Sprint("the stream was not moved"))
				must.Eq(t, 0, c.doneAt.Sub(<-left), must.Sprint("the request goes on without its caller"))
				synctest.Wait()
				must.SliceEmpty(t, r.openSends())
				must.True(t, c.aborted)
				must.False(t, c.complete(t))
				r.check(t)
			})
		})
	}
}

// Guards against streams that are cut although no other replica can be sent the request.
func TestBegunStreamIsNotCutWithoutARetryOrReplica(t *testing.T) {
	cases := map[string]struct {
		retries int
		prepare func(t *testing.T, r *moveRig)
	}{
		"no retry is left": {0, func(*testing.T, *moveRig) {}},
		"other daemons have no retry": {0, func(_ *testing.T, r *moveRig) {
			r.gateway.CanBorrowRetry = func(string) bool { return true }
			r.gateway.BorrowRetry = func(context.Context, string) bool { time.Sleep(eventInterval); return false }
		}},
		"the replica continues while a retry is borrowed": {0, func(_ *testing.T, r *moveRig) {
			r.gateway.CanBorrowRetry = func(string) bool { return true }
			r.gateway.BorrowRetry = func(context.Context, string) bool { r.endPause(); time.Sleep(eventInterval); return true }
		}},
		"the other replica leaves while a retry is borrowed": {0, func(_ *testing.T, r *moveRig) {
			r.gateway.CanBorrowRetry = func(string) bool { return true }
			r.gateway.BorrowRetry = func(context.Context, string) bool { r.setDraining(r.ids...); return true }
		}},
		"the other replica announces a limit while a retry is borrowed": {0, func(_ *testing.T, r *moveRig) {
			r.gateway.CanBorrowRetry = func(string) bool { return true }
			r.gateway.BorrowRetry = func(context.Context, string) bool {
				for _, id := range r.ids {
					setLimit(r.gateway.Gate, id, 0.5)
				}
				return true
			}
		}},
		"the content is quarantined during the pause": {5, func(t *testing.T, r *moveRig) {
			go func() {
				<-r.paused
				digest := quarantine.Content{Method: http.MethodPost, Target: "/s/x"}.Digest()
				for _, id := range []string{"e", "f", "g", "h"} {
					time.Sleep(time.Millisecond)
					sent := r.gateway.Clock.Now()
					time.Sleep(time.Millisecond)
					r.evidence.RecordCrash(quarantine.Incarnation{Instance: id, StartedAt: 1}, r.gateway.Clock.Now(), []quarantine.Suspect{{Traits: quarantine.Traits{Content: digest}, Sent: sent}})
				}
				_, quarantined := r.evidence.Quarantined(quarantine.Traits{Content: digest})
				must.True(t, quarantined)
			}()
		}},
		"the process is not scheduled during the pause": {5, func(_ *testing.T, r *moveRig) {
			r.connectSuccessor = func(context.Context, int64) error { return syscall.ECONNREFUSED }
			go func() {
				<-r.paused
				time.AfterFunc(stallTimeout, r.endPause)
				r.unschedule(2 * stallTimeout)
			}()
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: c.retries}, func(t *testing.T, r *moveRig) {
				c.prepare(t, r)
				r.run(t)
			})
		})
	}
}

// Guards against streams that are moved from a replica that works because their caller does not read
// for a while.
func TestStreamIsNotMovedWhileItsCallerDoesNotRead(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.serveFirst = finishStream
		c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: pauseAt(2, longPause)})
		<-c.done
		r.check(t)
		must.SliceLen(t, 1, r.sendsOf("x"))
		must.True(t, c.complete(t))
	})
}

// Guards against streams that are cut for want of a retry after a retry that no replica received:
// its connection failed, and the retry counted as used.
func TestRetryThatWasNotSentIsUsedForTheNextReplica(t *testing.T) {
	for _, name := range []string{"refuses the connection", "does not answer the connection"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 3, attempts: 3, retries: 1}, func(t *testing.T, r *moveRig) {
				r.serveFirst = (*simSend).reset
				successorFailures[name](r)
				fail := r.connectSuccessor
				r.connectSuccessor = func(ctx context.Context, n int64) error {
					if n == 1 {
						return fail(ctx, n)
					}
					return nil
				}
				r.run(t)
			})
		})
	}
}
