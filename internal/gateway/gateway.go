package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/pause"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// Config is the configuration in force at this daemon.
type Config struct {
	Table *routes.Table
	// Proved is when the call was sent that proved this configuration current.
	Proved time.Time
}

// Version returns the operator's number of the configuration, 0 before the first.
func (c Config) Version() uint64 {
	if c.Table == nil {
		return 0
	}
	return c.Table.Config.Version
}

// Bounds the gateway keeps. A zero Revoke sets no bound on the proof's age.
type Bounds struct {
	Revoke time.Duration // oldest proof on which a request with a key may run
	Config time.Duration // oldest proof on which a caller is told "no such route"
	Retry  dispatch.BudgetRule
}

// Gateway is the http.Handler for callers. Set all exported fields before use.
type Gateway struct {
	Codec    Codec
	Config   func() Config
	View     func() *fleet.View
	Bounds   func() Bounds
	Stopping func() bool // answers carry Connection: close
	Pool     *upstream.Pool
	Picker   *dispatch.Picker
	Metrics  *Metrics
	Log      *zap.Logger
	Budgets  *dispatch.Budgets
	// Gate knows the instances that limit their requests.
	Gate *backpressure.Gate
	// Watch knows the requests that end instances; they are refused.
	Watch *quarantine.Watch
	// Clock tells the time; nil: this machine's.
	Clock *steady.Clock
	// RunClock tells the time by which instances are silent; nil: Clock does.
	RunClock *steady.RunClock
	// Starting tells that this daemon has just started and will soon know whether it can
	// serve; nil: it knows.
	Starting func() bool
	// Borrow asks other daemons for a repeat of a service that this one's budget lacks;
	// MayBorrow tells whether they probably have one. nil: there are no others.
	Borrow    func(ctx context.Context, service string) bool
	MayBorrow func(service string) bool
	index     atomic.Pointer[targetIndex]
	unread    seenTexts            // names of headers
	invalid   seenTexts            // errors of signals
	waits     dispatch.CallerWaits // of callers
	sampled   atomic.Uint64
	any       atomic.Bool
}

// Idle tells whether no request came yet.
func (g *Gateway) Idle() bool { return !g.any.Load() }

// defaultBodyBytes bounds a caller's body while no configuration says otherwise.
const defaultBodyBytes = 4 << 20

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, w: w, req: g.Codec.Request(r), now: g.Clock.Now()}
	x.req.Arrived = x.now
	g.any.Store(true)
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get("Connection") == "" && r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		w.Header().Set("Connection", "close")
	}
	g.awaitStart(r.Context())
	x.config = g.Config()
	x.serve(r)
	g.finish(x)
}

// startTick is how often a request that is held at the start looks whether it goes on.
const startTick = 10 * time.Millisecond

// runNow returns the time by which instances are silent, which is the picker's. While this process
// is not scheduled it stands still: events that came are not read yet.
func (g *Gateway) runNow() time.Time {
	if g.RunClock == nil {
		return g.Clock.Now()
	}
	return g.RunClock.Now()
}

// awaitStart holds a request that came while this daemon starts.
func (g *Gateway) awaitStart(ctx context.Context) {
	for g.Starting != nil && g.Starting() && ctx.Err() == nil {
		pause.For(ctx, startTick)
	}
}

// exchange is one request in progress.
type exchange struct {
	gateway      *Gateway
	w            http.ResponseWriter
	req          *Request
	now          time.Time     // arrival
	waitedBefore time.Duration // by the caller, at least, when it came
	config       Config
	route        *routes.Route
	service      *routes.Service
	workspace    string
	deadline     time.Time
	view         *fleet.View
	tried        map[string]bool
	sends        []sendLog
	digest       func() quarantine.Digest // of the content, computed once; safe for concurrent use
	attempts     dispatch.Attempts
	permit       bool                        // the target chosen limits its requests, and one of its permits was taken
	reserved     atomic.Pointer[reservation] // a repeat for the next send
	mayRun       bool                        // some instance may have run it
	broken       int                         // sends whose connection ended before a whole answer
	status       int
	reason       string // why it ended as it did; empty: served at the first try
	begun        bool   // the answer's head went out
	firstAt      time.Duration
	lastEvent    int64
	hasLast      bool
	events       int
	eventAt      time.Time     // when the last event was passed on
	maxGap       time.Duration // longest pause between events
	admission    dispatch.Admission
	sending      *quarantine.Send // the last one
}

// serve answers the request.
func (x *exchange) serve(r *http.Request) {
	if !x.admit() {
		return
	}
	if !x.readBody(r) {
		return
	}
	x.digest = sync.OnceValue(x.content().Digest)
	if x.quarantined() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.gateway.Clock.Until(x.deadline))
	defer cancel()
	x.budget().Request(x.gateway.Bounds().Retry, x.now)
	x.waitedBefore = x.gateway.waits.Elapsed(x.route.Name, x.req.Wait)
	if x.route.Kind == routes.Stream {
		x.stream(ctx)
	} else {
		x.plain(ctx)
	}
}

// admit matches the route and checks the key; false: the caller was answered.
func (x *exchange) admit() bool {
	table, bounds := x.config.Table, x.gateway.Bounds()
	if table == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_configuration", dispatch.ComeBack(dispatch.Starting))
	}
	age := x.now.Sub(x.config.Proved)
	host, _, _ := strings.Cut(x.req.Host, ":")
	x.route = table.Match(host, x.req.Path)
	if x.route == nil {
		if bounds.Config > 0 && age > bounds.Config {
			return x.refuse(http.StatusServiceUnavailable, "no_route_in_old_configuration", dispatch.ComeBack(dispatch.Elsewhere))
		}
		return x.refuse(http.StatusNotFound, "no_route", 0)
	}
	if !x.route.Public && table.Keyed() && !x.authorize(age, bounds) {
		return false
	}
	x.service = table.Service(x.route.Service(x.req.ID))
	if x.service == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_service", dispatch.ComeBack(dispatch.Elsewhere))
	}
	x.deadline = x.now.Add(defaultWait)
	if x.req.Wait > 0 {
		x.deadline = x.now.Add(x.req.Wait)
	}
	if x.route.Timeout > 0 {
		x.deadline = earlier(x.deadline, x.now.Add(x.route.Timeout))
	}
	return true
}

// defaultWait bounds a request whose caller and route name no time.
const defaultWait = 60 * time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// authorize finds the workspace of the key. Without a fresh proof that the
// configuration is current a removed key could still run, so nothing does.
func (x *exchange) authorize(age time.Duration, bounds Bounds) bool {
	if bounds.Revoke > 0 && age >= bounds.Revoke {
		return x.refuse(http.StatusServiceUnavailable, "configuration_not_proved_current", dispatch.ComeBack(dispatch.Elsewhere))
	}
	ws := x.config.Table.Workspace(x.req.Key)
	if ws == nil {
		if bounds.Config > 0 && age > bounds.Config {
			return x.refuse(http.StatusServiceUnavailable, "unknown_key_in_old_configuration", dispatch.ComeBack(dispatch.Elsewhere))
		}
		return x.refuse(http.StatusUnauthorized, "unknown_key", 0)
	}
	x.workspace = ws.Name
	return true
}

// readBody reads the whole body, so that it can be sent in one piece, and again.
func (x *exchange) readBody(r *http.Request) bool {
	limit := int64(x.config.Table.Config.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		x.reason = "caller_sent_no_whole_body"
		panicAbort(x)
		return false
	}
	if int64(len(body)) > limit {
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	x.req.Body = body
	return true
}

// next chooses where to send the request, nil if it may go nowhere else.
func (x *exchange) next(ctx context.Context) *dispatch.Target {
	if x.attempts.Spent(x.route.Attempts) {
		x.note("attempts_spent")
		return nil
	}
	now := x.gateway.Clock.Now()
	if !now.Before(x.deadline) { // timers stand still while the machine is suspended
		x.note("deadline")
		return nil
	}
	own := false
	if x.attempts.Repeated() {
		// Taken before the choice: requests that fail together would all find it left.
		r := x.repeat(ctx)
		if r == nil {
			x.note("retry_budget_spent")
			return nil
		}
		own = r.own
	}
	t := x.pick()
	if t == nil && x.awaitRest(ctx) {
		t = x.pick()
	}
	if t == nil && own {
		x.budget().Return(x.gateway.Bounds().Retry, now)
	}
	return t
}

// pick takes a target, and a permit if its instance limits its requests; nil: there is none.
func (x *exchange) pick() *dispatch.Target {
	for {
		t := x.gateway.Picker.Pick(x.targets(), x.tried, x.gateway.runNow())
		if t == nil {
			return nil
		}
		var ok bool
		if x.permit, ok = x.gateway.Gate.Take(lifeOf(t), x.gateway.Clock.Now()); ok {
			return t
		}
		x.gateway.Picker.Done(t) // another request took the last permit
	}
}

// repeat takes the repeat that was reserved, or one of the budgets; nil: there is none.
func (x *exchange) repeat(ctx context.Context) *reservation {
	if r := x.reserved.Swap(nil); r != nil {
		return r
	}
	return x.takeRepeat(ctx)
}

// takeRepeat takes a repeat of this daemon's budget or of others'; nil: there is none.
func (x *exchange) takeRepeat(ctx context.Context) *reservation {
	switch {
	case x.budget().Repeat(x.gateway.Bounds().Retry, x.gateway.Clock.Now()):
		return &reservation{own: true}
	case x.borrow(ctx):
		return &reservation{}
	}
	return nil
}

func (x *exchange) budget() *dispatch.Budget { return x.gateway.Budgets.Of(x.service.Name) }

// borrow takes a repeat that other daemons have to spare.
func (x *exchange) borrow(ctx context.Context) bool {
	return x.gateway.Borrow != nil && x.gateway.Borrow(ctx, x.service.Name)
}

// mayRepeat tells whether a repeat of a service could be made now.
func (g *Gateway) mayRepeat(service string) bool {
	return g.Budgets.Of(service).Left(g.Bounds().Retry, g.Clock.Now()) >= 1 || g.MayBorrow != nil && g.MayBorrow(service)
}

// send sends the request to a target once. callBack is called if it turns out to end
// instances before it brings anything.
func (x *exchange) send(ctx context.Context, t *dispatch.Target, lastEvent string, callBack func()) (*http.Response, error) {
	if x.tried == nil {
		x.tried = map[string]bool{}
	}
	x.tried[t.Instance] = true
	now := x.gateway.Clock.Now()
	x.attempts.Try()
	x.sends = append(x.sends, sendLog{target: t, at: now.Sub(x.now)})
	call := &upstream.Call{
		Address: t.Address, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host, Body: x.req.Body,
		Fresh: !x.route.Repeatable(),
		Header: x.gateway.Codec.Header(x.req, Send{Instance: t.Instance, Remaining: x.deadline.Sub(now),
			Workspace: x.workspace, LastEvent: lastEvent, Urgency: x.urgency(now)}),
		Withhold: x.withheld(t),
		Own:      func(status int, h http.Header) bool { return x.gateway.Codec.AnswersTo(x.req.ID, status, h) },
	}
	x.sending = x.gateway.Watch.Begin(quarantine.Life{Instance: t.Instance, Born: t.Born}, t.Address, x.workspace, x.digest, callBack)
	resp, err := x.gateway.Pool.Do(ctx, call)
	if err != nil && (errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrBusy)) {
		return nil, err
	}
	x.attempts.Reached()
	if err == nil {
		x.gateway.hear(t, resp, now)
		x.gateway.countUnread(resp.Header)
	}
	return resp, err
}

// urgency is that of a send now. What is no stream does not wait behind others.
func (x *exchange) urgency(now time.Time) dispatch.Urgency {
	if x.route.Kind != routes.Stream {
		return dispatch.InTime
	}
	longest := x.maxGap
	if x.events > 0 {
		longest = max(longest, now.Sub(x.eventAt))
	}
	return dispatch.StreamProgress{Waited: x.waitedBefore + now.Sub(x.now), Objective: x.route.Objective, Gap: x.route.Gap,
		Begun: x.events > 0, First: x.waitedBefore + x.firstAt, Pause: longest}.Urgency()
}

// ended notes how a send ended.
func (x *exchange) ended(how string) {
	s := &x.sends[len(x.sends)-1]
	s.end, s.took = how, x.gateway.Clock.Since(x.now)-s.at
}

func (x *exchange) note(reason string) {
	if x.reason == "" {
		x.reason = reason
	}
}
