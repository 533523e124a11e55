// Package operator serves operators over HTTP: configuration changes, intents for VMs,
// and views of the system. Every daemon serves it. Client is its client side.
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"go.uber.org/zap"

	"pearlanding/internal/api"
	"pearlanding/internal/control"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/problem"
	"pearlanding/internal/revision"
	"pearlanding/internal/settings"
	"pearlanding/internal/telemetry"
)

// Deps are the dependencies of Operator.
type Deps struct {
	Settings  settings.Settings
	Control   *control.Control
	Store     objectapi.Store
	API       *api.API
	Telemetry *telemetry.Telemetry
	// Offer sends a head that this daemon has written to all peers.
	Offer func(ctx context.Context, head revision.Head, version uint64)
	Log   *zap.Logger
}

// Operator serves operators. Safe for concurrent use.
type Operator struct{ Deps }

// New returns an Operator over its dependencies.
func New(d Deps) *Operator { return &Operator{d} }

// Limits of the operators' interface.
const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	// callTimeout limits one operation, the wait for the acceptance of a change included.
	callTimeout = 15 * time.Second
)

// Server returns the HTTP server for operators on the listener.
func (o *Operator) Server(listener net.Listener) *server.Hertz {
	h := server.New(
		server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes), server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithExitWaitTime(time.Millisecond), server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/metrics", o.allowRead(o.metrics))
	v1 := h.Group("/operator/v1")
	v1.POST("/apply", o.allowChange(o.apply))
	v1.GET("/changes/:id", o.allowRead(o.findChange))
	v1.GET("/config/:kind", o.allowRead(o.listEntries))
	v1.GET("/config/:kind/:name", o.allowRead(o.getEntry))
	v1.DELETE("/config/:kind/:name", o.allowChange(o.deleteEntry))
	v1.DELETE("/daemons/:slot", o.allowChange(o.forgetDaemon))
	v1.GET("/vms", o.allowRead(o.listVMs))
	v1.POST("/vms/:name/:intent", o.allowChange(o.setIntent))
	v1.GET("/groups", o.allowRead(o.listGroups))
	v1.GET("/status", o.allowRead(o.status))
	v1.GET("/explain/:id", o.allowRead(o.explain))
	return h
}

// handler serves one authorised call, or returns the problem to answer with.
type handler func(ctx context.Context, c *app.RequestContext) *problem.Problem

// allowRead wraps a handler that changes nothing; the read and change roles may call it.
func (o *Operator) allowRead(serve handler) app.HandlerFunc {
	return o.wrap(serve, o.Settings.Operators.ReadTokenSHA256, o.Settings.Operators.ChangeTokenSHA256)
}

// allowChange wraps a handler that changes the system; only the change role may call it.
func (o *Operator) allowChange(serve handler) app.HandlerFunc {
	return o.wrap(serve, o.Settings.Operators.ChangeTokenSHA256)
}

func (o *Operator) wrap(serve handler, digests ...string) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		p := o.authorise(c, digests)
		if p == nil {
			p = serve(ctx, c)
		}
		if p == nil {
			return
		}
		if after := p.RetryAfterSeconds(); after != "" {
			c.Response.Header.Set("Retry-After", after)
		}
		c.Data(p.Status, problem.ContentType, p.JSON())
	}
}

// authorise compares the digest of the bearer token in constant time. Without a change
// token in the settings, the listener is on loopback and every call is allowed.
func (o *Operator) authorise(c *app.RequestContext, digests []string) *problem.Problem {
	if o.Settings.Operators.ChangeTokenSHA256 == "" {
		return nil
	}
	token, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	for _, want := range digests {
		if want != "" && subtle.ConstantTimeCompare(got, []byte(want)) == 1 {
			return nil
		}
	}
	if token == "" {
		return problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "an operator's bearer token is required")
	}
	return problem.New(http.StatusForbidden, problem.CodeForbidden, "this token may not do that")
}

func (o *Operator) metrics(_ context.Context, c *app.RequestContext) *problem.Problem {
	var buf bytes.Buffer
	o.Telemetry.Write(&buf)
	c.Data(http.StatusOK, "text/plain; charset=utf-8", buf.Bytes())
	return nil
}

func (o *Operator) explain(_ context.Context, c *app.RequestContext) *problem.Problem {
	e, ok := o.API.Explain(c.Param("id"))
	if !ok {
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon keeps nothing of that request")
	}
	c.JSON(http.StatusOK, e)
	return nil
}
