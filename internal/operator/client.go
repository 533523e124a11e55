package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/catalog"
	"pearlanding/internal/findings"
	"pearlanding/internal/problem"
)

// Client calls the operators' interface of a daemon.
type Client struct {
	base  string
	token string
	user  string
	http  *http.Client
}

// NewClient returns a client for the operators' listener at address (IP:port). user is
// recorded as the author of changes; token may be empty on loopback.
func NewClient(address, token, user string) *Client {
	return &Client{base: "http://" + address, token: token, user: user, http: &http.Client{Timeout: callTimeout + 5*time.Second}}
}

// ProblemError is a problem that the daemon answered with, and its details by code:
// Findings with CodeInvalidConfiguration, Conflicts with CodeConflict for a configuration change,
// ChangeID with CodeWriteOutcomeUnknown.
type ProblemError struct {
	problem.Problem
	Findings  []findings.Finding `json:"-"`
	Conflicts []catalog.Conflict `json:"-"`
	ChangeID  string             `json:"-"`
}

// ErrUnreachable: no connection to the daemon could be opened; nothing was sent.
const ErrUnreachable = errors.ConstError("operator: daemon not reached")

// ErrNoAnswer: the call was sent and no complete answer arrived; it may have been applied.
const ErrNoAnswer = errors.ConstError("operator: no answer")

// Apply creates or replaces the entries of an INI text. file names it in findings.
func (c *Client) Apply(ctx context.Context, file string, text []byte) (ChangeResult, error) {
	var out ChangeResult
	return out, c.call(ctx, http.MethodPost, "/operator/v1/apply?file="+url.QueryEscape(file), text, &out)
}

// Delete removes an entry if revision is its current one.
func (c *Client) Delete(ctx context.Context, ref catalog.Ref, revision uint64) (ChangeResult, error) {
	var out ChangeResult
	path := "/operator/v1/config/" + string(ref.Kind) + "/" + ref.Name + "?revision=" + strconv.FormatUint(revision, 10)
	return out, c.call(ctx, http.MethodDelete, path, nil, &out)
}

// ForgetDaemon removes a stopped daemon from the registry.
func (c *Client) ForgetDaemon(ctx context.Context, slot string) (ChangeResult, error) {
	var out ChangeResult
	return out, c.call(ctx, http.MethodDelete, "/operator/v1/daemons/"+url.PathEscape(slot), nil, &out)
}

// Change returns the state of a change.
func (c *Client) Change(ctx context.Context, id string) (ChangeResult, error) {
	var out ChangeResult
	return out, c.call(ctx, http.MethodGet, "/operator/v1/changes/"+url.PathEscape(id), nil, &out)
}

// Entry returns an entry as INI text.
func (c *Client) Entry(ctx context.Context, ref catalog.Ref) (string, error) {
	var out []byte
	err := c.call(ctx, http.MethodGet, "/operator/v1/config/"+string(ref.Kind)+"/"+ref.Name, nil, &out)
	return string(out), err
}

// Entries lists the entries of a kind.
func (c *Client) Entries(ctx context.Context, kind catalog.Kind) ([]EntrySummary, error) {
	var out []EntrySummary
	return out, c.call(ctx, http.MethodGet, "/operator/v1/config/"+string(kind), nil, &out)
}

// SetIntent drains, stops or resumes a VM.
func (c *Client) SetIntent(ctx context.Context, vm, verb string) (IntentResult, error) {
	var out IntentResult
	return out, c.call(ctx, http.MethodPost, "/operator/v1/vms/"+url.PathEscape(vm)+"/"+verb, nil, &out)
}

// VMs lists the upstream VMs.
func (c *Client) VMs(ctx context.Context) ([]VMView, error) {
	var out []VMView
	return out, c.call(ctx, http.MethodGet, "/operator/v1/vms", nil, &out)
}

// Groups lists the groups.
func (c *Client) Groups(ctx context.Context) ([]GroupView, error) {
	var out []GroupView
	return out, c.call(ctx, http.MethodGet, "/operator/v1/groups", nil, &out)
}

// Status returns the system as the answering daemon knows it.
func (c *Client) Status(ctx context.Context) (StatusView, error) {
	var out StatusView
	return out, c.call(ctx, http.MethodGet, "/operator/v1/status", nil, &out)
}

// Explain returns the JSON of api.Explanation for a recent request of the daemon.
func (c *Client) Explain(ctx context.Context, requestID string) ([]byte, error) {
	var out []byte
	return out, c.call(ctx, http.MethodGet, "/operator/v1/explain/"+url.PathEscape(requestID), nil, &out)
}

// call makes one call. It decodes the JSON answer into out, or stores the raw body if
// out is a *[]byte.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set(headerOperator, c.user)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrUnreachable)
	}
	if err != nil {
		return errors.WithType(err, ErrNoAnswer)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithType(err, ErrNoAnswer)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeProblem(resp.StatusCode, data)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return errors.Trace(json.Unmarshal(data, out))
}

// decodeProblem decodes a problem and its typed extra into a ProblemError.
func decodeProblem(status int, data []byte) error {
	var wire struct {
		problem.Problem
		Extra json.RawMessage `json:"extra"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return errors.Errorf("daemon answered %d", status)
	}
	out := &ProblemError{Problem: wire.Problem}
	switch wire.Code {
	case problem.CodeInvalidConfiguration:
		_ = json.Unmarshal(wire.Extra, &out.Findings)
	case problem.CodeConflict:
		_ = json.Unmarshal(wire.Extra, &out.Conflicts)
	case problem.CodeWriteOutcomeUnknown:
		var id struct {
			ChangeID string `json:"change_id"`
		}
		_ = json.Unmarshal(wire.Extra, &id)
		out.ChangeID = id.ChangeID
	}
	return out
}

// Error implements error.
func (e *ProblemError) Error() string { return e.Problem.Error() }
