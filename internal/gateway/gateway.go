package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/demand"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/evacuation"
	"pearlanding/internal/fleet"
	"pearlanding/internal/membudget"
	"pearlanding/internal/pause"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// Config is the configuration that this daemon currently applies.
type Config struct {
	Table *routes.Table
	// ProvedAt is when the read was sent that last showed this configuration to be current.
	ProvedAt time.Time
}

// Version returns the version number of the configuration, or 0 if there is none yet.
func (c Config) Version() uint64 {
	if c.Table == nil {
		return 0
	}
	return c.Table.Config.Version
}

// Limits holds the limits on the age of the proof that the configuration is current, and the
// rule of the retry budgets. A zero duration sets no limit.
type Limits struct {
	// Requests that need a key run only while the proof is younger than MaxProofAgeForKeys.
	MaxProofAgeForKeys time.Duration
	// Unknown routes and keys get 404 and 401 only while the proof is not older than MaxProofAgeForRejection;
	// after that they get 503.
	MaxProofAgeForRejection time.Duration
	RetryBudget             dispatch.BudgetRule // of each service's retry budget
}

// Gateway is the http.Handler for callers' requests. All exported fields must be set before
// use, except those that may be nil.
type Gateway struct {
	Codec    Codec
	Config   func() Config
	View     func() *fleet.View
	Limits   func() Limits
	Stopping func() bool // if true, responses carry Connection: close
	Stop     *Stop       // the planned stop of this process; nil: there will be none
	Pool     *upstream.Pool
	Picker   *dispatch.Picker
	Metrics  *Metrics
	Log      *zap.Logger
	Budgets  *dispatch.Budgets
	// Demand counts what callers ask of each model; nil: it is not counted.
	Demand *demand.Counter
	// Gate tracks the rate limits, backoffs and departures that instances announce.
	Gate *backpressure.Gate
	// ColdPermit asks the zone's relay for a permit; nil: there is no relay.
	ColdPermit backpressure.AskColdPermit
	// Quarantine tracks which requests crash instances. Later requests with the same content are
	// refused.
	Quarantine *quarantine.Detector
	// Clock is the time source; nil means the system clock.
	Clock *steady.Clock
	// RunClock measures how long instances are silent and stops while this process is not
	// scheduled; nil means Clock.
	RunClock *steady.RunClock
	// Starting reports whether this daemon is still loading what it needs to serve requests.
	// Requests wait until it returns false. nil means never.
	Starting func() bool
	// BorrowRetry takes a retry for a service from the budgets of other daemons when this daemon's
	// budget is exhausted. nil if there are no other daemons.
	BorrowRetry func(ctx context.Context, service string) bool
	// Memory accounts what is held for callers and instances; nil: no limit.
	Memory *membudget.Budget
	// PathsLostAt returns when all direct paths to instances were last lost, by RunClock; zero: never. A
	// failure of an earlier send says nothing about its target. nil: never.
	PathsLostAt func() time.Time
	// CanBorrowRetry reports whether other daemons probably have a retry for a service. nil if there
	// are no other daemons.
	CanBorrowRetry func(service string) bool
	// Evacuated returns the zones whose instances get no new requests; nil: never any.
	Evacuated func() *evacuation.Zones

	currentTargets   atomic.Pointer[targetIndex] // of the latest view
	unreadHeaders    labelSet                    // names of response headers
	invalidSignals   labelSet                    // texts of errors
	invalidPrompts   labelSet                    // texts of errors
	unreadBodies     logLimiter                  // of requests that ended before their body was read
	notableEnds      logLimiter                  // of requests served at the first try
	callerWaits      dispatch.CallerTimeLimits
	servedAtFirstTry atomic.Uint64 // requests, for sampling the log
	requestSeen      atomic.Bool
}

// NoRequestsYet reports whether no request has arrived since the start.
func (g *Gateway) NoRequestsYet() bool { return !g.requestSeen.Load() }

// defaultBodyBytes limits a caller's body if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, w: w, req: g.Codec.Request(r), arrivedAt: g.Clock.Now(), latenessOnArrival: g.RunClock.Lateness()}
	x.req.ArrivedAt = x.arrivedAt
	x.bodyUnread = r.ContentLength != 0
	defer x.releaseBody()
	g.requestSeen.Store(true)
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get("Connection") == "" && r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		w.Header().Set("Connection", "close")
	}
	g.awaitStart(r.Context())
	x.config = g.Config()
	x.reportPromptError()
	x.serve(r)
	g.finish(x)
}

// startPollInterval is how often a request held during the start checks Starting.
const startPollInterval = 10 * time.Millisecond

// runClockNow returns the time that the picker and the stall checks use. It does not advance
// while this process is not scheduled, because events that arrived meanwhile are still unread.
func (g *Gateway) runClockNow() time.Time {
	if g.RunClock == nil {
		return g.Clock.Now()
	}
	return g.RunClock.Now()
}

// awaitStart blocks while this daemon starts, or until ctx ends.
func (g *Gateway) awaitStart(ctx context.Context) {
	for g.Starting != nil && g.Starting() && ctx.Err() == nil {
		pause.For(ctx, startPollInterval)
	}
}

// suspect records that a target failed a send, unless the send began before the paths were lost.
func (g *Gateway) suspect(t *dispatch.Target, sentAt time.Time) {
	if !g.pathsLostSince(sentAt) {
		g.Picker.Suspect(t, g.runClockNow())
	}
}

// pathsLostSince reports whether the paths to instances were lost after a time of RunClock.
func (g *Gateway) pathsLostSince(at time.Time) bool {
	return g.PathsLostAt != nil && g.PathsLostAt().After(at)
}

// exchange is the state of one request in progress.
type exchange struct {
	gateway           *Gateway
	w                 http.ResponseWriter
	req               *Request
	arrivedAt         time.Time
	latenessOnArrival time.Duration // of the gateway's RunClock
	priorWait         time.Duration // lower bound of how long the caller waited before this attempt arrived
	config            Config
	route             *routes.Route
	service           *routes.Service
	workspace         string
	priority          int // of the workspace or, if that has none, of the route; 0 is the most urgent
	deadline          time.Time
	view              *fleet.View
	triedInstances    map[string]bool
	sends             []sendLog
	quarantineRequest *quarantine.Request // nil until the body was read
	attempts          dispatch.Attempts
	hasPermit         bool                             // the chosen target has a rate limit, and the request holds one of its permits
	coldPermit        backpressure.ColdPermit          // of the chosen target, if that is cold
	coldAsksSpent     bool                             // the last choice asked for as many permits for cold instances as it may
	reservedRetry     atomic.Pointer[retryReservation] // for the next send
	currentRetry      *retryReservation                // that the current send uses; nil if it is no retry
	mayHaveRun        bool                             // an instance may have run the request
	noPath            bool                             // the last send found no path to any instance
	brokenSends       int                              // sends whose connection ended before a complete response
	unanswered        atomic.Bool                      // a send broke off or was silent for too long
	begunEvent        atomic.Bool                      // a replica broke off inside the next event
	status            int
	reason            string        // why the request was refused or aborted; empty if a response was passed on
	quarantinedTrait  string        // because of which it was refused, for the log
	headerSent        bool          // to the caller
	partial           bool          // the caller has a part of a stream whose end is not proved
	firstByteAfter    time.Duration // time from arrival to the first event or the complete response
	admission         dispatch.Admission
	admitted          bool              // the next send was admitted, and no target that was chosen for it was used
	roomWaitEnd       time.Time         // until when the request may wait for room; zero: not decided
	upload            *membudget.Upload // of the request's body
	bodyUnread        bool              // the request has a body that was not read to its end
	readsLimited      bool              // the caller's connection has a limit on the time of reading
	cancelRequest     context.CancelFunc
	held              heldEvents

	// progressMu guards progress. The goroutine that passes events on is the only one that writes
	// it; a handover reads it meanwhile.
	progressMu sync.Mutex
	progress   streamProgress
}

// streamProgress is the part of a stream that the caller has received.
type streamProgress struct {
	lastEventID    int64
	hasLastEventID bool
	eventCount     int
	hasEvent       bool          // one of them is not a comment
	lastEventAt    time.Time     // when the last event was passed on
	maxGap         time.Duration // longest time between two events
}

// serve responds to the request.
func (x *exchange) serve(r *http.Request) {
	if !x.resolveRoute() {
		return
	}
	x.limitWrites()
	if !x.readBody(r) {
		return
	}
	x.quarantineRequest = quarantine.NewRequest(x.content())
	if x.refuseQuarantined() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.gateway.Clock.Until(x.deadline))
	defer cancel()
	x.cancelRequest = cancel
	x.budget().CountRequest(x.gateway.Limits().RetryBudget, x.arrivedAt)
	x.priorWait = x.gateway.callerWaits.Elapsed(x.route.Name, x.req.CallerTimeout)
	x.countDemand()
	if x.refuseEvacuated() {
		return
	}
	if x.route.Kind == routes.Stream {
		x.serveStream(ctx)
	} else {
		x.servePlain(ctx)
	}
}

// resolveRoute matches the route, checks the key, and sets the service and the deadline. It
// returns false if it has refused the request.
func (x *exchange) resolveRoute() bool {
	table, bounds := x.config.Table, x.gateway.Limits()
	if table == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_configuration", dispatch.RetryAfter(dispatch.DaemonStarting))
	}
	age := x.arrivedAt.Sub(x.config.ProvedAt)
	host, _, _ := strings.Cut(x.req.Host, ":")
	x.route = table.Match(host, x.req.Path)
	if x.route == nil {
		if bounds.MaxProofAgeForRejection > 0 && age > bounds.MaxProofAgeForRejection {
			return x.refuse(http.StatusServiceUnavailable, "no_route_in_old_configuration", dispatch.RetryAfter(dispatch.TryAnotherDaemon))
		}
		return x.refuse(http.StatusNotFound, "no_route", 0)
	}
	x.priority = x.route.Priority
	if !x.route.Public && table.RequiresAPIKey() && !x.authorize(age, bounds) {
		return false
	}
	x.service = table.Service(x.route.PickService(x.req.ID))
	if x.service == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_service", dispatch.RetryAfter(dispatch.TryAnotherDaemon))
	}
	x.deadline = x.arrivedAt.Add(defaultTimeout)
	if x.req.CallerTimeout > 0 {
		x.deadline = x.arrivedAt.Add(x.req.CallerTimeout)
	}
	if x.route.Timeout > 0 {
		x.deadline = earlier(x.deadline, x.arrivedAt.Add(x.route.Timeout))
	}
	return true
}

// defaultTimeout limits a request for which the caller sets no time limit. A timeout of the
// route can only shorten it.
const defaultTimeout = 60 * time.Second

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// authorize sets the workspace that the key belongs to. It returns false if it has refused the
// request. If the proof is too old, every key is refused, because any could have been removed
// since.
func (x *exchange) authorize(age time.Duration, bounds Limits) bool {
	if bounds.MaxProofAgeForKeys > 0 && age >= bounds.MaxProofAgeForKeys {
		return x.refuse(http.StatusServiceUnavailable, "configuration_not_proved_current", dispatch.RetryAfter(dispatch.TryAnotherDaemon))
	}
	ws := x.config.Table.Workspace(x.req.Key)
	if ws == nil {
		if bounds.MaxProofAgeForRejection > 0 && age > bounds.MaxProofAgeForRejection {
			return x.refuse(http.StatusServiceUnavailable, "unknown_key_in_old_configuration", dispatch.RetryAfter(dispatch.TryAnotherDaemon))
		}
		return x.refuse(http.StatusUnauthorized, "unknown_key", 0)
	}
	x.workspace = ws.Name
	if ws.Priority != nil {
		x.priority = *ws.Priority
	}
	return true
}

// nextTarget chooses the target of the next send. It returns nil and records the reason if there
// is none.
func (x *exchange) nextTarget(ctx context.Context) *dispatch.Target {
	t, reason := x.chooseTarget(ctx)
	if reason != "" {
		x.setReason(reason)
	}
	return t
}

// chooseTarget chooses the target of the next send. It returns nil if the attempts, the time or
// the retry budget are used up, with the reason, or if no target is left, without one.
func (x *exchange) chooseTarget(ctx context.Context) (t *dispatch.Target, reason string) {
	if !x.maySend() {
		return nil, reasonUpstreamFailed
	}
	if x.attempts.Exhausted(x.route.MaxAttempts) {
		return nil, "attempts_spent"
	}
	if x.noPath {
		return nil, "no_path_to_instances"
	}
	now := x.gateway.Clock.Now()
	// ctx may end too late, because timers do not run while the machine is suspended.
	if !now.Before(x.deadline) {
		return nil, "deadline"
	}
	x.currentRetry = nil
	if x.attempts.NextIsRetry() {
		// Taken before the target is chosen: otherwise requests that fail at the same time
		// would all see the same remaining retry.
		x.currentRetry = x.useRetry(ctx)
		if x.currentRetry == nil {
			return nil, "retry_budget_spent"
		}
	}
	t = x.pickTarget(ctx)
	for t == nil && x.admission.Reason == "" && x.awaitBackoff(ctx) {
		t = x.pickTarget(ctx)
		if !x.coldRule().Active() {
			break
		}
	}
	if t == nil {
		x.keepRetry()
	}
	return t, ""
}

// keepRetry reserves the retry of the current send, which has not been sent, for the next one.
func (x *exchange) keepRetry() {
	if x.currentRetry != nil {
		x.reservedRetry.Store(x.currentRetry)
		x.currentRetry = nil
	}
}

// pickTarget returns a target, or nil if there is none. If the target's instance has a rate
// limit, the request then holds one of its permits.
func (x *exchange) pickTarget(ctx context.Context) *dispatch.Target {
	x.coldAsksSpent = false
	for asked := 0; ; {
		t := x.place()
		if t == nil {
			return nil
		}
		if !x.permitCold(ctx, t, &asked) {
			x.gateway.Picker.Release(t)
			if x.coldAsksSpent = asked >= maxColdAsks; x.coldAsksSpent {
				return nil
			}
			continue
		}
		var ok bool
		if x.hasPermit, ok = x.gateway.Gate.Take(incarnationOf(t), x.gateway.Clock.Now()); ok {
			return t
		}
		x.gateway.Picker.Release(t) // another request took the last permit
	}
}

// useRetry returns the reserved retry, or takes one from a budget; nil if there is none.
func (x *exchange) useRetry(ctx context.Context) *retryReservation {
	if r := x.reservedRetry.Swap(nil); r != nil {
		return r
	}
	return x.takeRetry(ctx)
}

// takeRetry takes a retry from this daemon's budget, or else from other daemons; nil if there
// is none.
func (x *exchange) takeRetry(ctx context.Context) *retryReservation {
	switch {
	case x.budget().TakeRetry(x.gateway.Limits().RetryBudget, x.gateway.Clock.Now()):
		return &retryReservation{fromOwnBudget: true}
	case x.borrowRetry(ctx):
		return &retryReservation{}
	}
	return nil
}

// budget returns the retry budget of the request's service.
func (x *exchange) budget() *dispatch.Budget { return x.gateway.Budgets.For(x.service.Name) }

// borrowRetry takes a retry from the budgets of other daemons.
func (x *exchange) borrowRetry(ctx context.Context) bool {
	return x.gateway.BorrowRetry != nil && x.gateway.BorrowRetry(ctx, x.service.Name)
}

// retryAvailable reports whether a request to a service could be retried now.
func (g *Gateway) retryAvailable(service string) bool {
	return g.Budgets.For(service).RetriesLeft(g.Limits().RetryBudget, g.Clock.Now()) >= 1 || g.CanBorrowRetry != nil && g.CanBorrowRetry(service)
}

// send is one send of the request to a target.
type send struct {
	target   *dispatch.Target
	begunAt  time.Time        // by RunClock
	logIndex int              // in exchange.sends
	tracked  *quarantine.Send // by the quarantine until its Done is called
}

// startSend counts and registers a send of the request to a target. onQuarantine is called if the
// request's content is quarantined while no event of the response has been received.
func (x *exchange) startSend(t *dispatch.Target, onQuarantine func()) *send {
	if x.triedInstances == nil {
		x.triedInstances = map[string]bool{}
	}
	x.triedInstances[t.Instance] = true
	x.attempts.CountSend()
	x.sends = append(x.sends, sendLog{target: t, startedAfter: x.gateway.Clock.Since(x.arrivedAt)})
	tracked := x.gateway.Quarantine.StartSend(quarantine.Incarnation{Instance: t.Instance, StartedAt: t.StartedAt}, t.Address, x.quarantineRequest, onQuarantine)
	return &send{target: t, begunAt: x.gateway.runClockNow(), logIndex: len(x.sends) - 1, tracked: tracked}
}

// do sends the request once and returns the response after reading its header.
func (x *exchange) do(ctx context.Context, s *send, lastEvent string) (*http.Response, error) {
	t := s.target
	now := x.gateway.Clock.Now()
	rank, priorities := x.queuePriority()
	remaining := x.deadline.Sub(now)
	x.sends[s.logIndex].deadline = remaining
	call := &upstream.Call{
		Address: t.Address, Method: x.req.Method, RequestTarget: x.req.RequestTarget, Host: x.req.Host, Body: x.req.Body,
		NewConnection: !x.route.Retryable(), AvoidIdle: x.unanswered.Load(),
		Header: x.gateway.Codec.UpstreamHeader(x.req, SendOptions{Instance: t.Instance, Remaining: remaining,
			Workspace: x.workspace, LastEventID: lastEvent, Urgency: x.urgency(now), PriorityRank: rank, Priorities: priorities}),
		Withhold:      x.withholdFunc(t),
		IsOwnResponse: func(status int, h http.Header) bool { return x.gateway.Codec.IsResponseTo(x.req.ID, status, h) },
	}
	resp, err := x.gateway.Pool.Do(ctx, call)
	x.admitted = x.admitted && errors.Is(err, upstream.ErrWithheld)
	if err != nil && (errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrConnectionLimit)) {
		x.keepRetry()
		x.noPath = errors.Is(err, upstream.ErrNoPath)
		if errors.Is(context.Cause(ctx), errNotNeeded) {
			x.attempts.UncountSend()
			delete(x.triedInstances, t.Instance)
		}
		return nil, err
	}
	x.attempts.CountReached()
	x.gateway.noteLargeHead(t, err)
	if err == nil {
		x.sends[s.logIndex].peer = upstream.Peer(resp)
		x.gateway.observeSignals(t, resp, now)
		x.gateway.countUnread(resp.Header)
	}
	return resp, err
}

// urgency returns the urgency of a send now. It is always InTime for requests that are not
// streams, so that only resumed streams go before them.
func (x *exchange) urgency(now time.Time) dispatch.Urgency {
	if x.route.Kind != routes.Stream {
		return dispatch.InTime
	}
	x.progressMu.Lock()
	p := x.progress
	x.progressMu.Unlock()
	if p.eventCount > 0 {
		p.maxGap = max(p.maxGap, now.Sub(p.lastEventAt))
	}
	return dispatch.StreamProgress{Waited: x.priorWait + now.Sub(x.arrivedAt), Objective: x.route.LatencyObjective, MaxPause: x.route.EventGapObjective,
		Begun: p.eventCount > 0, FirstEvent: x.priorWait + x.firstByteAfter, LongestPause: p.maxGap}.Urgency()
}

// recordEnd records the outcome of a send, for the log.
func (x *exchange) recordEnd(s *send, outcome string) {
	l := &x.sends[s.logIndex]
	l.outcome, l.took = outcome, x.gateway.Clock.Since(x.arrivedAt)-l.startedAfter
}

// closeResponse closes the body of a response, and records how it ended.
func (x *exchange) closeResponse(s *send, resp *http.Response) {
	l := &x.sends[s.logIndex]
	l.status, l.framing, l.ending = resp.StatusCode, upstream.FramingOf(resp), upstream.EndingOf(resp)
	_ = resp.Body.Close() // the outcome is known before
}

// setReason records why the request ended as it did, unless an earlier reason is set.
func (x *exchange) setReason(reason string) {
	if x.reason == "" {
		x.reason = reason
	}
}
