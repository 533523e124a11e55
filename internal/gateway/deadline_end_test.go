package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// routeTimeout is the time that a request of these tests may take.
const routeTimeout = 2 * time.Second

// setTimeout sets the timeout of the rig's route.
func (r *moveRig) setTimeout(timeout time.Duration) {
	route := streamRoute(r.attempts)
	route.Timeout = timeout
	r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}}),
		ProvedAt: r.gateway.Clock.Now()})
}

// begin sends the head of an answer of n events, and its first events up to sent.
func (s *simSend) begin(f framing, n, sent int) {
	events := s.simEvents(s.lastEventID+1, s.lastEventID+n)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\n", s.requestID, s.replica)
	body := strings.Join(events[:sent], "")
	switch f {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n"
		if sent > 0 {
			body = chunk(body)
		}
	case withLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(events, "")))
	}
	s.conn.response.write([]byte(head+"\r\n"+body), nil)
}

// end ends an answer as its framing says.
func (s *simSend) end(f framing) {
	switch f {
	case chunked:
		s.finish()
	case unframed:
		s.conn.response.fail(io.EOF)
	}
}

// Guards against streams that look complete because their replica stopped at the deadline that it was handed, and this
// process read the end before its own timer expired.
func TestEndAtTheDeadlineCompletesNoStream(t *testing.T) {
	ways := map[string]func(r *moveRig, serve func(s *simSend)) *simCaller{
		"first send": func(r *moveRig, serve func(s *simSend)) *simCaller {
			r.simFleet.serve = serve
			return r.call("x", streamEvents)
		},
		"resumed": func(r *moveRig, serve func(s *simSend)) *simCaller {
			r.serveFirst = (*simSend).reset
			r.serveSuccessor = func(s *simSend, _ int64) { serve(s) }
			return r.call("x", streamEvents)
		},
		"moved": func(r *moveRig, serve func(s *simSend)) *simCaller {
			r.serveFirst = (*simSend).hang
			r.serveSuccessor = func(s *simSend, _ int64) { serve(s) }
			return r.call("x", streamEvents)
		},
		"resumed by the caller": func(r *moveRig, serve func(s *simSend)) *simCaller {
			r.simFleet.serve = serve
			return r.callAs(&simCaller{id: "x", lastEventID: eventsBeforePause})
		},
	}
	for way, call := range ways {
		for _, f := range []framing{chunked, unframed} {
			for _, events := range []int{0, 2} {
				t.Run(fmt.Sprintf("%s, %s, %d events", way, f, events), func(t *testing.T) {
					inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
						r.setTimeout(routeTimeout)
						c := call(r, func(s *simSend) {
							s.begin(f, events, events)
							s.wait(eventInterval)
							r.suspend(routeTimeout)
							s.end(f)
						})
						<-c.done
						r.checkCutAtDeadline(t, c)
					})
				})
			}
		}
	}
}

// The same where another goroutine reads the stream and holds its events, as the caller does not read.
func TestEndAtTheDeadlineCompletesNoHeldStream(t *testing.T) {
	for _, f := range []framing{chunked, unframed} {
		t.Run(string(f), func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.setTimeout(routeTimeout)
				r.simFleet.serve = func(s *simSend) {
					s.begin(f, 2, 2)
					s.wait(2 * slowWriteTime)
					r.suspend(routeTimeout)
					s.end(f)
				}
				c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: pauseAt(2, 4*slowWriteTime)})
				<-c.done
				must.Eq(t, 1, r.gateway.Metrics.set.GetOrCreateCounter("pearlanding_streams_held_total").Get())
				r.checkCutAtDeadline(t, c)
			})
		})
	}
}

// checkCutAtDeadline checks that the caller's answer does not look complete, and that no replica is blamed for it.
func (r *moveRig) checkCutAtDeadline(t *testing.T, c *simCaller) {
	t.Helper()
	log := must.Sprint(c.status, c.aborted, c.body.String(), r.logOf("x"))
	must.True(t, c.aborted || c.status == http.StatusGatewayTimeout, log)
	must.StrContains(t, strings.Join(r.logOf("x"), ""), `"reason":"deadline"`)
	sends := r.sendsOf("x")
	must.SliceNotContains(t, r.gateway.Picker.Unhealthy(r.gateway.runClockNow()), sends[len(sends)-1].replica, log)
}

// The same where the end and the timer of the deadline come at the same moment, or the head of an answer with a length
// comes after the deadline.
func TestEndBesideTheDeadlineCompletesNoStream(t *testing.T) {
	for range 20 {
		inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
			r.setTimeout(routeTimeout)
			r.simFleet.serve = func(s *simSend) {
				s.begin(chunked, 2, 2)
				s.wait(routeTimeout - simConnectTime)
				s.finish()
			}
			c := r.call("x", streamEvents)
			<-c.done
			must.True(t, c.aborted, must.Sprint(r.logOf("x")))
		})
	}
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.setTimeout(routeTimeout)
		r.simFleet.serve = func(s *simSend) {
			r.suspend(routeTimeout)
			s.begin(withLength, 2, 2)
		}
		c := r.call("x", streamEvents)
		<-c.done
		r.checkCutAtDeadline(t, c)
	})
}

// Guards against whole streams that are cut because they are passed on late.
func TestWholeStreamThatIsPassedOnLateIsComplete(t *testing.T) {
	for name, serve := range map[string]func(r *moveRig, s *simSend){
		"length": func(r *moveRig, s *simSend) {
			s.begin(withLength, streamEvents, 2)
			s.wait(eventInterval)
			r.suspend(routeTimeout)
			s.conn.response.write([]byte(strings.Join(s.simEvents(3, streamEvents), "")), nil)
		},
		"end received in time": func(r *moveRig, s *simSend) {
			s.begin(chunked, streamEvents, 0)
			s.conn.response.write([]byte(chunk(strings.Join(s.simEvents(1, streamEvents), ""))+"0\r\n\r\n"), nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.setTimeout(routeTimeout)
				r.simFleet.serve = func(s *simSend) { serve(r, s) }
				writes := 0
				c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: func() {
					if writes++; writes == 3 && name != "length" {
						r.suspend(routeTimeout)
					}
				}})
				<-c.done
				r.check(t)
				must.True(t, c.complete(t), must.Sprint(r.logOf("x")))
				must.SliceLen(t, 1, r.sendsOf("x"))
			})
		})
	}
}

// Whatever replicas do until the deadline and at it, and however late this process and the caller read, an answer that looks
// complete has all events once and in order.
func TestAnswersAreCompleteWhateverReplicasDoAtTheDeadline(t *testing.T) {
	complete := 0
	for seed := range uint64(200) {
		inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 20}, func(t *testing.T, r *moveRig) {
			r.setTimeout(routeTimeout)
			rng := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			random := func(limit time.Duration) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.Int64N(int64(limit)))
			}
			begun := time.Now()
			timeLeft := func() time.Duration {
				return routeTimeout - time.Since(begun) - time.Duration(r.suspended.Load())
			}
			r.simFleet.serve = func(s *simSend) {
				interval, last, hang, needs := random(2*stallTimeout), s.lastEventID+int(random(3*streamEvents)), random(2) == 0, random(3*stallTimeout)
				s.header()
				if timeLeft() < needs {
					s.finish()
					return
				}
				for id := s.lastEventID + 1; id <= streamEvents; id++ {
					switch {
					case id > last && hang:
						s.hang()
						return
					case id > last:
						s.reset()
						return
					case !s.wait(max(min(interval, timeLeft()), 0)):
						return
					case timeLeft() <= 0:
						s.finish()
						return
					}
					s.event(id)
				}
				s.finish()
			}
			time.AfterFunc(random(routeTimeout), func() { r.suspend(random(routeTimeout)) })
			go func() {
				time.Sleep(random(routeTimeout))
				r.readLate(random(routeTimeout))
			}()
			c := r.callAs(&simCaller{id: "x", events: streamEvents, onWrite: func() { time.Sleep(random(2 * slowWriteTime)) }})
			<-c.done
			events := len(c.received(t))
			must.True(t, c.aborted || c.status != http.StatusOK || events == streamEvents, must.Sprintf("seed %d: %d events in a complete answer: %v", seed, events, r.logOf("x")))
			if !c.aborted && c.status == http.StatusOK {
				complete++
			}
		})
	}
	must.Greater(t, 20, complete)
}
