package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/membudget"
	"pearlanding/internal/steady"
)

// callerPause is how long the callers of these tests do not read: longer than an instance leaves its answer
// unread.
const callerPause = 10 * time.Second

// pauseAt returns a function that pauses a caller before a write.
func pauseAt(write int, pause time.Duration) func() {
	writes := 0
	return func() {
		if writes++; writes == write {
			time.Sleep(pause)
		}
	}
}

// Guards against an instance whose answer stays unread because its caller does not read: it would cut the
// answer off, and this daemon would be at fault.
func TestInstanceIsReadWhileItsCallerDoesNotRead(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.serveFirst = finishStream
		c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: pauseAt(2, callerPause)})
		time.Sleep(2*eventInterval + slowWriteTime + streamEvents*eventInterval)
		must.SliceEmpty(t, r.openSends(), must.Sprint("not read while the caller pauses"))
		for _, l := range r.gateway.Picker.Loads(r.gateway.runClockNow()) {
			must.Zero(t, l.InFlight)
		}
		select {
		case <-c.done:
			t.Fatal("the caller did not pause")
		default:
		}
		<-c.done
		r.check(t)
		must.True(t, c.complete(t))
		must.SliceLen(t, 1, r.sendsOf("x"))
	})
}

// Guards against events that are lost or repeated when a stream moves while events are held for its caller:
// the successor continues after the last event that is held.
func TestHeldEventsAreFollowedByThoseOfASuccessor(t *testing.T) {
	for name, serve := range map[string]func(s *simSend){
		"replica breaks off": func(s *simSend) {
			s.events(eventsBeforePause+1, eventsBeforePause+2, eventInterval)
			s.wait(slowWriteTime)
			s.reset()
		},
		"replica falls silent": func(s *simSend) {
			s.events(eventsBeforePause+1, eventsBeforePause+2, eventInterval)
			s.hang()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveFirst = serve
				c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: pauseAt(2, callerPause)})
				time.Sleep(callerPause / 2)
				must.SliceEmpty(t, r.openSends(), must.Sprint("not read while the caller pauses"))
				<-c.done
				r.check(t)
				must.True(t, c.complete(t))
				sends := r.sendsOf("x")
				must.SliceLen(t, 2, sends)
				must.Eq(t, eventsBeforePause+2, sends[1].lastEventID)
			})
		})
	}
}

// Whatever pauses callers make and however replicas fail, an answer that looks complete has all events once
// and in order.
func TestAnswersAreCompleteForCallersThatPause(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 20}, func(t *testing.T, r *moveRig) {
				rng := rand.New(rand.NewPCG(seed, 1))
				r.simFleet.serve = func(s *simSend) {
					r.simFleet.mu.Lock()
					interval, end := time.Duration(rng.IntN(60))*time.Millisecond, rng.IntN(3)
					last := s.lastEventID + 1 + rng.IntN(2*streamEvents)
					r.simFleet.mu.Unlock()
					s.header()
					if last >= streamEvents {
						if s.events(s.lastEventID+1, streamEvents, interval) {
							s.finish()
						}
						return
					}
					s.events(s.lastEventID+1, last, interval)
					if end == 0 {
						s.hang()
					} else {
						s.reset()
					}
				}
				pauses := rand.New(rand.NewPCG(seed, 2))
				c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: func() {
					if pauses.IntN(2) == 0 {
						time.Sleep(time.Duration(pauses.IntN(600)) * time.Millisecond)
					}
				}})
				<-c.done
				time.Sleep(maxLingering)
				must.SliceEmpty(t, r.openSends())
				events := len(c.received(t))
				must.True(t, c.aborted || events == streamEvents, must.Sprintf("%d events in a complete answer", events))
			})
		})
	}
}

// Guards against requests that are held for good by a caller that reads nothing, and against answers that
// look complete although their caller has not read them in time.
func TestCallerThatNeverReadsEndsAtItsDeadline(t *testing.T) {
	for name, leave := range map[string]bool{"deadline": false, "caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveFirst = func(s *simSend) {
					for id := eventsBeforePause + 1; s.events(id, id, eventInterval); id++ {
					}
				}
				deadline := make(chan struct{})
				c := r.callAs(&simCaller{id: "x", events: 1 << 20, blockedFrom: 2, writeDeadline: deadline})
				if leave {
					time.Sleep(time.Second)
					c.leave()
				}
				<-c.done
				must.True(t, c.aborted)
				reason := "deadline"
				if leave {
					reason = "caller_left"
				}
				must.StrContains(t, strings.Join(r.logOf("x"), ""), reason)
				time.Sleep(maxLingering)
				must.SliceEmpty(t, r.openSends())
			})
		})
	}
}

// Guards against a daemon whose memory is exhausted by answers that their callers do not read, and against
// ending the streams that hold little.
func TestStreamsThatHoldMostAreEndedWhenTheBudgetIsSpent(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.gateway.Memory = membudget.New(64 << 10)
		r.simFleet.serve = func(s *simSend) {
			s.header()
			size := 64
			if s.requestID == "large" {
				size = 2 << 10
			}
			for id := 1; id <= 64 && s.wait(eventInterval); id++ {
				s.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", size)))
			}
			s.finish()
		}
		large := r.callAs(&simCaller{id: "large", blockedFrom: 2, writeDeadline: make(chan struct{})})
		small := r.callAs(&simCaller{id: "small", onWrite: pauseAt(2, callerPause)})
		<-large.done
		must.SliceEmpty(t, r.gateway.Picker.Unhealthy(r.gateway.runClockNow()), must.Sprint("replicas are blamed for a slow caller"))
		must.True(t, large.aborted)
		must.StrContains(t, strings.Join(r.logOf("large"), ""), reasonSlowCaller)
		<-small.done
		must.False(t, small.aborted)
		must.Eq(t, 64, strings.Count(small.body.String(), "\n\n"))
		must.SliceLen(t, 1, r.sendsOf("large"), must.Sprint("not sent again"))
		u := r.gateway.Memory.Usage()
		must.Eq(t, 1, u.Ended)
		must.Zero(t, u.Streams+u.Ending+u.Bodies)
	})
}

// Guards against one caller whose answer uses the whole budget of the daemon.
func TestHeldEventsOfOneStreamAreBounded(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.gateway.Memory = membudget.New(1 << 40)
		var most atomic.Int64
		r.simFleet.serve = func(s *simSend) {
			s.header()
			for id := 1; s.wait(eventInterval); id++ {
				s.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 16<<10)))
				most.Store(max(most.Load(), r.gateway.Memory.Usage().Streams))
			}
		}
		c := r.callAs(&simCaller{id: "x", blockedFrom: 2, writeDeadline: make(chan struct{})})
		<-c.done
		must.True(t, c.aborted)
		must.Between(t, maxHeldBytes/2, most.Load(), maxHeldBytes+2*maxKeptEventBytes)
		must.Zero(t, r.gateway.Memory.Usage().Streams+r.gateway.Memory.Usage().Ending)
	})
}

// Guards against goroutines and copies for callers that read in time, which daemons with a small part of a
// processor cannot afford.
func TestEventsOfCallersThatReadInTimeAreNotHeld(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: func() { time.Sleep(slowWriteTime - time.Millisecond) }})
		<-c.done
		must.True(t, c.complete(t))
		must.Zero(t, r.gateway.Metrics.set.GetOrCreateCounter("pearlanding_streams_held_total").Get())
	})
	w := &countingCaller{header: http.Header{}}
	const events = 1000
	x := benchExchange(w)
	must.NoError(t, passBenchStream(x, 1))
	var err error
	allocs := testing.AllocsPerRun(1, func() {
		w.writes, w.flushes = 0, 0
		err = passBenchStream(x, events)
	})
	must.NoError(t, err)
	must.Eq(t, events, w.writes)
	must.Eq(t, events, w.flushes)
	must.Less(t, events/4, int(allocs), must.Sprint("allocations of a stream"))
}

// Guards against a daemon that ends by a panic when the process is not scheduled right after the first write
// of a stream begins: the timer then runs before its creator has stored it.
func TestFirstWriteIsWatchedWhileTheProcessIsNotScheduled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := benchExchange(&countingCaller{header: http.Header{}})
		start := time.Now()
		// The clock does not advance: the process is not scheduled.
		clock := steady.NewClockFrom(func() (time.Time, time.Duration) { return start, 0 }, func() time.Duration { return 0 })
		x.gateway.RunClock = steady.NewRunClock(clock)
		x.beginWrite(&handover{x: x, from: &streamSend{eventAt: x.gateway.runClockNow()}})
		time.Sleep(5 * slowWriteTime)
		must.False(t, x.held.endWrite(), must.Sprint("the caller is blamed for time in which the process did not run"))
	})
}

// Guards against streams that go on without an event that was not held: another stream had spent the budget, and had not
// called back yet.
func TestEventWithoutRoomEndsItsStreamAtOnce(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.gateway.Memory = membudget.New(1)
		x := &exchange{gateway: r.gateway, w: &countingCaller{header: http.Header{}}, req: &Request{ID: "x"}, cancelRequest: func() {}}
		x.held.changed.L = &x.held.mu
		x.held.holder = r.gateway.Memory.NewHolder(func() {})
		x.held.holder.Close()
		must.ErrorIs(t, x.holdEvent([]byte("id: 1\n\n")), errCallerTooSlow)
		must.True(t, x.endedForMemory())
		must.Eq(t, statusAborted, x.status)
	})
}
