// Package api serves callers over HTTP: model requests in the widely used JSON format
// and calls to plain services.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"pearlanding/internal/admission"
	"pearlanding/internal/catalog"
	"pearlanding/internal/control"
	"pearlanding/internal/ledger"
	"pearlanding/internal/problem"
	"pearlanding/internal/router"
	"pearlanding/internal/settings"
	"pearlanding/internal/telemetry"
	"pearlanding/internal/upstream"
)

// Headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeat with the value "never" marks a request as at-most-once; it requires
	// HeaderIdempotencyKey.
	HeaderRepeat = "Pearlanding-Repeat"
	// HeaderReplayed is "true" on an answer that was recorded for the key before.
	HeaderReplayed = "Pearlanding-Replayed"
	// HeaderResume is how many tokens of the answer the caller already has.
	HeaderResume = "Pearlanding-Resume-From"
	HeaderModel  = "Pearlanding-Model"
	HeaderPlace  = "Pearlanding-Place"
	HeaderGroup  = "Pearlanding-Group"
	HeaderEpoch  = "Pearlanding-Epoch"
)

// repeatNever is the value of HeaderRepeat that marks at-most-once requests.
const repeatNever = "never"

// Deps are the dependencies of API.
type Deps struct {
	Settings  settings.Settings
	Control   *control.Control
	Router    *router.Router
	Gate      *admission.Gate
	Ledger    *ledger.Ledger
	Upstream  *upstream.Client
	Telemetry *telemetry.Telemetry
	Claimant  ledger.Claimant
	Log       *zap.Logger
}

// API serves callers. Safe for concurrent use.
type API struct {
	Deps
	budget      *admission.RetryBudget
	serviceTime admission.ServiceTime
	inFlight    atomic.Int64
	recent      *recent
}

// New returns an API over its dependencies.
func New(d Deps) *API {
	return &API{Deps: d, budget: admission.NewRetryBudget(d.Settings.Limits.RetryBudget), recent: newRecent()}
}

// InFlight returns the number of requests in progress.
func (a *API) InFlight() int64 { return a.inFlight.Load() }

// Server returns the HTTP server for callers on the listener.
func (a *API) Server(listener net.Listener) *server.Hertz {
	l := a.Settings.Limits
	h := server.New(
		server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(2*l.MaxBodyBytes), // above it the library closes the connection itself
		server.WithMaxHeaderBytes(l.MaxHeaderBytes), server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true), server.WithRemoveExtraSlash(false),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	h.POST("/v1/chat/completions", a.handle(a.generate))
	h.POST("/v1/completions", a.handle(a.generate))
	h.GET("/v1/models", a.handle(a.models))
	h.Any("/services/:service", a.handle(a.callService))
	h.Any("/services/:service/*path", a.handle(a.callService))
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", a.ready)
	h.NoRoute(a.handle(func(_ context.Context, x *exchange) *problem.Problem {
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "no such path")
	}))
	return h
}

// ready answers a load balancer's readiness check: 200 if this daemon admits requests.
func (a *API) ready(_ context.Context, c *app.RequestContext) {
	if a.Control.Snapshot().MayAdmit(time.Now()) {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not admitting\n")
}

// exchange is one caller's request in progress.
type exchange struct {
	c          *app.RequestContext
	id         string
	start      time.Time
	snap       *control.Snapshot
	workspace  string
	ws         catalog.Workspace
	metrics    *telemetry.WorkspaceHistograms
	attemptLog attemptLog
	// replied is set once the response has started, so that its status and headers are sent.
	replied bool
}

// handler serves one admitted exchange, or returns the problem to answer with.
type handler func(ctx context.Context, x *exchange) *problem.Problem

// handle wraps a handler with the request id, authentication, the check of the admission
// lease, the deadline and the writing of problems.
func (a *API) handle(serve handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		x := &exchange{c: c, id: requestID(c), start: time.Now(), snap: a.Control.Snapshot()}
		c.Response.Header.Set(HeaderRequestID, x.id)
		ctx, cancel := context.WithTimeout(ctx, a.Settings.Limits.Deadline)
		defer cancel()
		p := a.authenticate(x)
		if p == nil {
			p = serve(ctx, x)
		}
		if p != nil {
			a.refuse(x, p)
		} else {
			a.Log.Debug("served", x.fields()...)
		}
		a.recent.add(x, p)
	}
}

// fields returns the fields of every log line about a request. They never contain a
// prompt or a token.
func (x *exchange) fields() []zap.Field {
	fields := []zap.Field{zap.String("request_id", x.id), zap.String("workspace", x.workspace), zap.Duration("took", time.Since(x.start))}
	if n := len(x.attemptLog.attempts); n > 0 {
		last := x.attemptLog.attempts[n-1]
		fields = append(fields, zap.String("group", last.Group), zap.Uint64("epoch", last.Epoch), zap.Int("attempts", n))
	}
	return fields
}

// maxRequestIDBytes is the longest request id taken from a caller.
const maxRequestIDBytes = 100

// requestID returns the caller's id if it is short printable ASCII without quotes and
// backslashes, otherwise a new one.
func requestID(c *app.RequestContext) string {
	id := string(c.GetHeader(HeaderRequestID))
	plain := strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }) < 0
	if id != "" && len(id) <= maxRequestIDBytes && plain {
		return id
	}
	return uuid.NewString()
}

// authenticate checks that this daemon may admit requests, and finds the workspace of
// the caller's token.
func (a *API) authenticate(x *exchange) *problem.Problem {
	if p := a.admissionProblem(x.snap, time.Now()); p != nil {
		return p
	}
	if limit := a.Settings.Limits.MaxBodyBytes; len(x.c.Request.Body()) > limit {
		return problem.New(http.StatusRequestEntityTooLarge, problem.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	token, ok := strings.CutPrefix(string(x.c.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "a bearer token is required")
	}
	// Only digests are stored and compared, so timing reveals nothing about a token.
	digest := sha256.Sum256([]byte(token))
	name, ok := x.snap.WorkspaceByDigest[hex.EncodeToString(digest[:])]
	if !ok {
		return problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "unknown token")
	}
	x.workspace, x.ws = name, x.snap.Head.Doc.Workspaces[name]
	x.metrics = a.Telemetry.Workspace(name, x.ws.Class)
	return nil
}

// admissionProblem returns why requests can't be admitted now, or nil if they can.
func (a *API) admissionProblem(snap *control.Snapshot, now time.Time) *problem.Problem {
	switch {
	case snap.Stopping:
		return problem.New(http.StatusServiceUnavailable, problem.CodeDaemonStopping, "this daemon is stopping").WithRetryAfter(time.Second)
	case !snap.MayAdmit(now):
		return problem.New(http.StatusServiceUnavailable, problem.CodeConfigurationNotCurrent,
			"this daemon can't tell whether its configuration is current").WithRetryAfter(a.Settings.Timing.AdmissionLease)
	}
	return nil
}

// refuse logs a problem and sends it as the response, unless the response has started.
func (a *API) refuse(x *exchange, p *problem.Problem) {
	p.RequestID = x.id
	a.Telemetry.CountRefusal(x.workspace, p)
	a.Log.Info("refused", append(x.fields(), zap.String("code", string(p.Code)), zap.String("outcome", string(p.Outcome)),
		zap.Int("status", p.Status), zap.String("detail", p.Detail))...)
	if x.replied {
		return
	}
	if after := p.RetryAfterSeconds(); after != "" {
		x.c.Response.Header.Set("Retry-After", after)
	}
	x.c.Data(p.Status, problem.ContentType, p.JSON())
}

// acquireSlot admits the request under the workspace's limits, which all daemons share.
// The returned function releases the slot.
func (a *API) acquireSlot(x *exchange) (func(), *problem.Problem) {
	limits := admission.Limits{
		MaxConcurrent: x.ws.MaxConcurrent, RatePerSecond: x.ws.RatePerSecond,
		Daemons: len(x.snap.LiveSlots), OthersInUse: x.snap.OthersInUse[x.workspace], OthersDemand: x.snap.DemandOf(x.workspace),
	}
	release, retryAfter, ok := a.Gate.Acquire(x.workspace, limits, time.Now())
	if !ok {
		return nil, problem.New(http.StatusTooManyRequests, problem.CodeWorkspaceLimit,
			"workspace %s has reached its limit", x.workspace).WithRetryAfter(retryAfter)
	}
	return release, nil
}

// models lists the models of the workspace.
func (a *API) models(_ context.Context, x *exchange) *problem.Problem {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for name := range x.ws.Models {
		list = append(list, model{ID: name, Object: "model", OwnedBy: x.workspace})
	}
	x.c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}
