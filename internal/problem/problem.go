// Package problem implements the error responses to callers and operators: RFC 9457 problem
// details with a stable code, whether the request may have run, and when to retry.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a refused request may have run.
type Outcome string

// Outcomes of a refused request.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
)

// Code is the stable identifier of a problem; docs/operations/refusals.md lists all codes.
type Code string

// Codes of the problems that callers and operators receive.
const (
	CodeUnauthorized            Code = "unauthorized"
	CodeForbidden               Code = "forbidden"
	CodeBadRequest              Code = "bad_request"
	CodeBodyTooLarge            Code = "body_too_large"
	CodeModelNotFound           Code = "model_not_found"
	CodeServiceNotFound         Code = "service_not_found"
	CodeNotFound                Code = "not_found"
	CodeIdempotencyKeyMissing   Code = "idempotency_key_missing"
	CodeIdempotencyKeyReused    Code = "idempotency_key_reused"
	CodeIdempotencyKeyExpired   Code = "idempotency_key_expired"
	CodeInProgress              Code = "request_in_progress"
	CodeOutcomeUnknown          Code = "outcome_unknown"
	CodeLedgerFull              Code = "ledger_full"
	CodeLedgerUnavailable       Code = "ledger_unavailable"
	CodeNoReplica               Code = "no_replica_serving"
	CodeOverloaded              Code = "overloaded"
	CodeWorkspaceLimit          Code = "workspace_limit"
	CodeConfigurationNotCurrent Code = "configuration_not_current"
	CodeDaemonStopping          Code = "daemon_stopping"
	CodeUpstreamFailed          Code = "upstream_failed"
	CodeDeadlineExceeded        Code = "deadline_exceeded"
	CodeAnswerTooLarge          Code = "answer_too_large"
	CodeCallerGone              Code = "caller_gone"
	CodeConflict                Code = "conflict"
	CodeInvalidConfiguration    Code = "invalid_configuration"
	CodePlatformUnavailable     Code = "platform_unavailable"
	CodeWriteOutcomeUnknown     Code = "write_outcome_unknown"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Problem is an error response with problem details. It implements error.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Code       Code          `json:"code"`
	Outcome    Outcome       `json:"outcome"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter time.Duration `json:"-"` // 0 if a retry alone does not help
	Extra      any           `json:"extra,omitempty"`
}

// New returns a problem for a request that has not run. The detail is formatted from format and
// args.
func New(status int, code Code, format string, args ...any) *Problem {
	return &Problem{
		Type: "urn:pearlanding:problem:" + string(code), Title: http.StatusText(status), Status: status,
		Code: code, Detail: fmt.Sprintf(format, args...), Outcome: NotRun,
	}
}

// WithRetryAfter sets RetryAfter and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// WithMayHaveRun marks the request as one that may have run, and returns p.
func (p *Problem) WithMayHaveRun() *Problem {
	p.Outcome = MayHaveRun
	return p
}

// WithExtra sets Extra, a detail that is encoded as JSON, and returns p.
func (p *Problem) WithExtra(extra any) *Problem {
	p.Extra = extra
	return p
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail) }

// JSON returns the problem as JSON. If Extra can't be encoded, it returns a fixed problem with
// the code "internal".
func (p *Problem) JSON() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"code":"internal","outcome":"may_have_run"}`)
	}
	return data
}

// RetryAfterSeconds returns the value of the Retry-After header, rounded up to whole seconds, or
// "" if there is none.
func (p *Problem) RetryAfterSeconds() string {
	if p.RetryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds())))
}
