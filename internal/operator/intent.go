package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/group"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/problem"
)

// IntentResult is the answer to drain, stop and resume.
type IntentResult struct {
	VM      string       `json:"vm"`
	Intent  group.Intent `json:"intent"`
	Version uint64       `json:"version"` // of the domain object
	Group   string       `json:"group,omitempty"`
	// Running is how many requests the group had in progress when the intent was
	// written; the group completes them.
	Running int `json:"running"`
}

// maxIntentTries limits how often the update is tried: the domain's holder writes the
// same object.
const maxIntentTries = 20

// setIntent records an operator's intent for a VM by a conditional update of the object
// of its domain.
func (o *Operator) setIntent(ctx context.Context, c *app.RequestContext) *problem.Problem {
	var want group.Intent
	switch c.Param("intent") {
	case "drain":
		want = group.IntentDrain
	case "stop":
		want = group.IntentStop
	case "resume":
		want = group.IntentNone
	default:
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "want drain, stop or resume")
	}
	vm := c.Param("name")
	domain, ok := o.domainOf(vm)
	if !ok {
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "no VM %q", vm)
	}
	result, p := o.writeIntent(ctx, domain, vm, want)
	if p != nil {
		return p
	}
	o.Log.Info("intent", zap.String("vm", vm), zap.String("intent", string(want)), zap.String("by", string(c.GetHeader(headerOperator))))
	c.JSON(http.StatusOK, result)
	return nil
}

func (o *Operator) domainOf(vm string) (string, bool) {
	for name, c := range o.Control.Snapshot().Domains {
		if _, ok := c.Domain.VMs[vm]; ok {
			return name, true
		}
	}
	return "", false
}

// writeIntent updates the domain object. It retries after a version conflict, as the
// domain's holder writes the same object. If the VM's intent itself has changed since the
// first read, another operator was first and the answer is CodeConflict.
func (o *Operator) writeIntent(ctx context.Context, domain, vm string, want group.Intent) (IntentResult, *problem.Problem) {
	var before *group.Intent
	mayHaveRun := false
	for range maxIntentTries {
		obj, err := o.Store.Get(ctx, group.Key(domain))
		if err != nil {
			return IntentResult{}, withOutcome(commitProblem(err, ""), mayHaveRun)
		}
		d, err := group.DecodeDomain(obj.Value)
		if err != nil {
			return IntentResult{}, withOutcome(commitProblem(err, ""), mayHaveRun)
		}
		record, ok := d.VMs[vm]
		if !ok {
			return IntentResult{}, problem.New(http.StatusNotFound, problem.CodeNotFound, "no VM %q any more", vm)
		}
		if record.Intent == want {
			return o.intentResult(d, vm, want, obj.Version), nil
		}
		if before == nil {
			before = &record.Intent
		} else if *before != record.Intent {
			return IntentResult{}, problem.New(http.StatusConflict, problem.CodeConflict,
				"another operator set %s to %q first", vm, record.Intent).WithExtra(map[string]any{"intent": record.Intent, "version": obj.Version})
		}
		record.Intent = want
		d.VMs[vm] = record
		value, err := d.Encode()
		if err != nil {
			return IntentResult{}, commitProblem(err, "")
		}
		version, err := o.Store.Update(ctx, group.Key(domain), obj.Version, value)
		switch {
		case err == nil:
			o.Control.PublishDomain(domain, group.VersionedDomain{Version: version, Domain: d})
			return o.intentResult(d, vm, want, version), nil
		case errors.Is(err, objectapi.ErrUnknownOutcome):
			mayHaveRun = true
		case !errors.Is(err, objectapi.ErrConflict):
			return IntentResult{}, withOutcome(commitProblem(err, ""), mayHaveRun)
		}
	}
	return IntentResult{}, withOutcome(problem.New(http.StatusServiceUnavailable, problem.CodeConflict,
		"lost the race for the domain object too often").WithRetryAfter(time.Second), mayHaveRun)
}

func withOutcome(p *problem.Problem, mayHaveRun bool) *problem.Problem {
	if mayHaveRun {
		return p.WithMayHaveRun()
	}
	return p
}

func (o *Operator) intentResult(d group.Domain, vm string, want group.Intent, version uint64) IntentResult {
	r := IntentResult{VM: vm, Intent: want, Version: version}
	if g, used := d.GroupOf(vm); used {
		r.Group = g.ID
		r.Running = o.Control.Snapshot().Evidence[g.ID].Running
	}
	return r
}
