package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/catalog"
	"pearlanding/internal/control"
	"pearlanding/internal/findings"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/problem"
	"pearlanding/internal/revision"
)

// ChangeResult is the answer to a change. With VerdictPending the change is written and
// will be in force; WaitingFor names the daemons that have not confirmed it yet.
type ChangeResult struct {
	ChangeID   string           `json:"change_id"`
	Revision   uint64           `json:"revision"`
	Verdict    revision.Verdict `json:"verdict"`
	WaitingFor []string         `json:"waiting_for,omitempty"`
	TookMS     int64            `json:"took_ms"`
}

// headerOperator carries the author of a change, who is named to an operator whose
// concurrent change is refused.
const headerOperator = "Pearlanding-Operator"

// acceptTimeout is how long a call waits for the change to be accepted before it answers
// VerdictPending.
const acceptTimeout = 8 * time.Second

// conflictError carries the entries that another operator changed first.
type conflictError struct{ conflicts []catalog.Conflict }

// newConflictError adds to each conflict the author of the entry's current revision.
func newConflictError(h revision.Head, conflicts ...catalog.Conflict) error {
	for i, c := range conflicts {
		for _, change := range h.Changes {
			if change.Revision == c.Current {
				conflicts[i].By = change.By
			}
		}
	}
	return &conflictError{conflicts}
}

func (e *conflictError) Error() string { return "entry was changed concurrently" }

// apply creates or replaces the entries of an INI file.
func (o *Operator) apply(ctx context.Context, c *app.RequestContext) *problem.Problem {
	file := c.DefaultQuery("file", "request")
	var list findings.List
	edit := catalog.NewEdit()
	edit.Parse(file, c.Request.Body(), &list)
	if !list.Empty() {
		return invalidProblem(&list)
	}
	if len(edit.Refs()) == 0 {
		return problem.New(http.StatusUnprocessableEntity, problem.CodeInvalidConfiguration, "%s holds no entry", file)
	}
	return o.commit(ctx, c, func(h revision.Head, change revision.Change) (revision.Head, error) {
		next, conflicts, changed := edit.Merge(h.Doc, h.Revision+1)
		if len(conflicts) > 0 {
			return h, newConflictError(h, conflicts...)
		}
		var found findings.List
		if edit.Check(next, &found); !found.Empty() {
			return h, found.Err()
		}
		if !changed {
			return h, revision.ErrUnchanged
		}
		return h.WithDoc(next, change), nil
	})
}

// deleteEntry removes an entry if the operator names its current revision.
func (o *Operator) deleteEntry(ctx context.Context, c *app.RequestContext) *problem.Problem {
	ref := catalog.Ref{Kind: catalog.Kind(c.Param("kind")), Name: c.Param("name")}
	expect, err := strconv.ParseUint(c.Query("revision"), 10, 64)
	if err != nil {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "revision=N of the entry is required")
	}
	return o.commit(ctx, c, func(h revision.Head, change revision.Change) (revision.Head, error) {
		next, conflict := h.Doc.Remove(ref, expect)
		if conflict != nil {
			return h, newConflictError(h, *conflict)
		}
		var found findings.List
		if catalog.NewEdit().Check(next, &found); !found.Empty() {
			return h, found.Err()
		}
		return h.WithDoc(next, change), nil
	})
}

// forgetDaemon removes a daemon from the registry, so that changes no longer wait for
// it. The operator vouches that its process has stopped for good.
func (o *Operator) forgetDaemon(ctx context.Context, c *app.RequestContext) *problem.Problem {
	slot := c.Param("slot")
	snap := o.Control.Snapshot()
	if p, ok := snap.Peers[slot]; ok && p.State == control.PeerAlive {
		return problem.New(http.StatusConflict, problem.CodeConflict, "%s answers: stop it first", slot)
	}
	return o.commit(ctx, c, func(h revision.Head, _ revision.Change) (revision.Head, error) {
		if _, member := h.Members[slot]; !member && !slices.Contains(h.Fenced, slot) {
			return h, revision.ErrUnchanged
		}
		return h.WithoutMember(slot, true), nil
	})
}

// commit writes a change and waits up to acceptTimeout until it is in force everywhere.
func (o *Operator) commit(ctx context.Context, c *app.RequestContext, edit func(revision.Head, revision.Change) (revision.Head, error)) *problem.Problem {
	start := time.Now()
	change := revision.Change{ID: uuid.NewString(), By: string(c.GetHeader(headerOperator))}
	head, version, err := revision.Commit(ctx, o.Store, func(h revision.Head) (revision.Head, error) {
		if _, done := h.Find(change.ID); done {
			return h, revision.ErrUnchanged // written by an earlier attempt whose answer was lost
		}
		return edit(h, change)
	})
	if err != nil && !errors.Is(err, revision.ErrUnchanged) {
		return commitProblem(err, change.ID)
	}
	o.Control.ObserveHead(ctx, head, version, start)
	o.Offer(ctx, head, version)
	target := head.Revision
	if done, found := head.Find(change.ID); found {
		target = done.Revision
	}
	result := o.awaitAccepted(ctx, target)
	result.ChangeID, result.TookMS = change.ID, time.Since(start).Milliseconds()
	o.Log.Info("configuration change", zap.String("change", change.ID), zap.Uint64("revision", target),
		zap.String("verdict", string(result.Verdict)), zap.Int64("took_ms", result.TookMS))
	status := http.StatusOK
	if result.Verdict == revision.VerdictPending {
		status = http.StatusAccepted
	}
	c.JSON(status, result)
	return nil
}

func (o *Operator) awaitAccepted(ctx context.Context, target uint64) ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		snap := o.Control.Snapshot()
		if snap.AcceptedUpTo >= target {
			return ChangeResult{Revision: target, Verdict: revision.VerdictAccepted}
		}
		select {
		case <-snap.Changed:
		case <-ctx.Done():
			return ChangeResult{Revision: target, Verdict: revision.VerdictPending, WaitingFor: snap.WaitingFor}
		}
	}
}

// commitProblem returns the problem for a failed commit.
func commitProblem(err error, changeID string) *problem.Problem {
	var conflict *conflictError
	var found *findings.Error
	switch {
	case errors.As(err, &conflict):
		return problem.New(http.StatusConflict, problem.CodeConflict,
			"changed by somebody else first; get the current entry and edit that").WithExtra(conflict.conflicts)
	case errors.As(err, &found):
		return problem.New(http.StatusUnprocessableEntity, problem.CodeInvalidConfiguration, "%d findings", len(found.Findings)).WithExtra(found.Findings)
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		return problem.New(http.StatusGatewayTimeout, problem.CodeWriteOutcomeUnknown,
			"the platform's answer was lost; ask for change %s", changeID).WithMayHaveRun().WithRetryAfter(time.Second).WithExtra(map[string]string{"change_id": changeID})
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodePlatformUnavailable, "not written: %v", err).WithRetryAfter(2 * time.Second)
}

func invalidProblem(list *findings.List) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, problem.CodeInvalidConfiguration, "%d findings", len(list.Items())).WithExtra(list.Items())
}

// findChange returns the state of a change, for an operator whose answer was lost.
func (o *Operator) findChange(ctx context.Context, c *app.RequestContext) *problem.Problem {
	start := time.Now()
	head, version, err := revision.Read(ctx, o.Store)
	if err != nil {
		return commitProblem(err, c.Param("id"))
	}
	o.Control.ObserveHead(ctx, head, version, start)
	change, ok := head.Find(c.Param("id"))
	if !ok {
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "no such change among the last ones: it was not written, or long ago")
	}
	snap := o.Control.Snapshot()
	result := ChangeResult{ChangeID: change.ID, Revision: change.Revision, Verdict: revision.VerdictPending, WaitingFor: snap.WaitingFor}
	if snap.AcceptedUpTo >= change.Revision {
		result.Verdict, result.WaitingFor = revision.VerdictAccepted, nil
	}
	c.JSON(http.StatusOK, result)
	return nil
}

// EntrySummary is one row of a list of entries. Revision is the entry's own.
type EntrySummary struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

func (o *Operator) listEntries(_ context.Context, c *app.RequestContext) *problem.Problem {
	doc := o.Control.Snapshot().Head.Doc
	out := []EntrySummary{}
	switch catalog.Kind(c.Param("kind")) {
	case catalog.KindTemplate:
		for name, e := range doc.Templates {
			out = append(out, EntrySummary{name, e.ModRevision})
		}
	case catalog.KindWorkspace:
		for name, e := range doc.Workspaces {
			out = append(out, EntrySummary{name, e.ModRevision})
		}
	case catalog.KindService:
		for name, e := range doc.Services {
			out = append(out, EntrySummary{name, e.ModRevision})
		}
	default:
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "no kind %q", c.Param("kind"))
	}
	sortBy(out, func(e EntrySummary) string { return e.Name })
	c.JSON(http.StatusOK, out)
	return nil
}

func (o *Operator) getEntry(_ context.Context, c *app.RequestContext) *problem.Problem {
	ref := catalog.Ref{Kind: catalog.Kind(c.Param("kind")), Name: c.Param("name")}
	text, ok := o.Control.Snapshot().Head.Doc.Render(ref)
	if !ok {
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "no %s %q", ref.Kind, ref.Name)
	}
	c.String(http.StatusOK, text)
	return nil
}
