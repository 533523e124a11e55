package api

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pearlanding/internal/admission"
	"pearlanding/internal/engine"
	"pearlanding/internal/problem"
	"pearlanding/internal/router"
	"pearlanding/internal/telemetry"
	"pearlanding/internal/upstream"
)

// headerEngineAdapter names the model adapter that the engine applies.
const headerEngineAdapter = "X-Engine-Adapter"

// modelRequest holds the fields of a model request that the daemon needs. The body
// goes to the engine unchanged.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// generate serves a model request.
func (a *API) generate(ctx context.Context, x *exchange) *problem.Problem {
	body := x.c.Request.Body()
	var g modelRequest
	if err := json.Unmarshal(body, &g); err != nil {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the body is not a JSON request: %v", err)
	}
	if len(g.Messages) == 0 && len(g.Prompt) == 0 {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "one of messages and prompt is required")
	}
	pool, modelUse, ok := x.snap.Head.Doc.PoolFor(x.ws, g.Model)
	if !ok {
		return problem.New(http.StatusNotFound, problem.CodeModelNotFound, "workspace %s has no model %q", x.workspace, g.Model)
	}
	resumeFrom, p := resumePoint(x)
	if p != nil {
		return p
	}
	release, p := a.acquireSlot(x)
	if p != nil {
		return p
	}
	defer release()
	x.c.Response.Header.Set(HeaderModel, g.Model)
	r := &relay{api: a, x: x, stream: g.Stream, resumeFrom: resumeFrom}
	k := &call{
		method: http.MethodPost, uri: string(x.c.Request.Path()), body: body,
		header:     http.Header{"Content-Type": {"application/json"}},
		atMostOnce: string(x.c.GetHeader(HeaderRepeat)) == repeatNever,
		consume:    r.consume,
		retryable:  func() bool { return true },
	}
	k.prepare = func(h http.Header, d *destination) { a.setEngineHeaders(h, x, d, modelUse.Adapter, r) }
	k.choose = func(exclude []string, now time.Time) *destination {
		return a.chooseReplica(x, pool, router.PrefixHash(x.workspace, promptOf(g)), exclude, now)
	}
	if p := a.refuseOverload(x, pool); p != nil {
		return p
	}
	return a.runGeneration(ctx, x, k, r)
}

// runGeneration dispatches the request, under a claim if it is at-most-once.
func (a *API) runGeneration(ctx context.Context, x *exchange, k *call, r *relay) *problem.Problem {
	if k.atMostOnce {
		c, p := a.claim(ctx, x, k.body)
		if c == nil {
			return p
		}
		r.claimed = c
		// The answer is recorded even if the caller disconnects meanwhile.
		var cancel context.CancelFunc
		ctx, cancel = upstream.DetachedContext(ctx, time.Until(x.start.Add(a.Settings.Limits.Deadline)))
		defer cancel()
	}
	telemetry.ObserveSince(x.metrics.BeforeSend, x.start)
	p := a.dispatch(ctx, x, k)
	if r.claimed != nil {
		a.settleClaim(ctx, x, r.claimed, p)
	}
	if p == nil {
		took := time.Since(x.start)
		x.metrics.Answer.Update(took.Seconds())
		a.serviceTime.Observe(took)
	}
	return r.close(p)
}

// resumePoint returns how many tokens of the answer the caller already has.
func resumePoint(x *exchange) (int, *problem.Problem) {
	raw := string(x.c.GetHeader(HeaderResume))
	if raw == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(raw)
	if err != nil || n < 0 {
		return 0, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "%s is not a number of tokens", HeaderResume)
	}
	return n, nil
}

func promptOf(g modelRequest) []byte {
	if len(g.Messages) > 0 {
		return g.Messages
	}
	return g.Prompt
}

// setEngineHeaders sets the headers of one attempt: the ids, the group and epoch that the
// engine checks against its own, and how the engine is to run the request.
func (a *API) setEngineHeaders(h http.Header, x *exchange, d *destination, adapter string, r *relay) {
	h.Set(engine.HeaderRequestID, x.id)
	h.Set(engine.HeaderGroup, d.name)
	h.Set(engine.HeaderEpoch, strconv.FormatUint(d.epoch, 10))
	h.Set(engine.HeaderPriority, strconv.Itoa(admission.Priority(x.ws.Class)))
	if key := x.c.GetHeader(HeaderIdempotencyKey); len(key) > 0 {
		h.Set(HeaderIdempotencyKey, string(key))
	}
	if from := r.resumeFrom + r.delivered; from > 0 {
		h.Set(engine.HeaderResume, strconv.Itoa(from))
	}
	if adapter != "" {
		h.Set(headerEngineAdapter, adapter)
	}
}

// permitted returns the replicas of a pool that the request may be sent to now, by the
// newest snapshot. They lie in places that both the workspace and the template allow.
func (a *API) permitted(x *exchange, pool string, exclude []string, now time.Time) ([]*router.Target, router.Request) {
	snap := a.Control.Snapshot()
	template, _, _ := strings.Cut(pool, "@")
	places := slices.DeleteFunc(slices.Clone(x.ws.Places), func(p string) bool {
		return !slices.Contains(snap.Head.Doc.Templates[template].Places, p)
	})
	req := router.Request{Places: places, Tried: exclude}
	return a.Router.Permitted(snap.Targets[pool], req, now), req
}

func (a *API) chooseReplica(x *exchange, pool string, prefix uint64, exclude []string, now time.Time) *destination {
	permitted, req := a.permitted(x, pool, exclude, now)
	req.PrefixHash = prefix
	t := a.Router.Choose(permitted, req, now, router.Uniform)
	if t == nil {
		return nil
	}
	return &destination{name: t.Group, epoch: t.Epoch, place: t.Place, address: t.Address,
		load: t.Load(), candidates: len(permitted), onSend: func() { t.Sent.Add(1) }}
}

// refuseOverload returns a problem if even the least loaded permitted replica is loaded
// above the limit of the workspace's class. Such a request is refused at once, because it
// would not be served in time.
func (a *API) refuseOverload(x *exchange, pool string) *problem.Problem {
	permitted, _ := a.permitted(x, pool, nil, time.Now())
	if len(permitted) == 0 {
		return a.noDestination(1, false)
	}
	lowestLoad := permitted[0].Load()
	for _, t := range permitted {
		lowestLoad = min(lowestLoad, t.Load())
	}
	if retryAfter, overloaded := admission.RefuseAtLoad(x.ws.Class, lowestLoad, a.serviceTime.Mean()); overloaded {
		return problem.New(http.StatusTooManyRequests, problem.CodeOverloaded,
			"every permitted replica is loaded beyond what class %s may add to", x.ws.Class).WithRetryAfter(retryAfter)
	}
	return nil
}
