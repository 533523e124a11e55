package embedded

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/control"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin/enginefake"
	"pearlanding/internal/standin/servicefake"
)

// TestRequestsEndToEnd guards against wrong answers on the path from caller to engine or
// service: incomplete or foreign answers that look complete, and at-most-once requests that
// run twice.
func TestRequestsEndToEnd(t *testing.T) {
	s := start(t, Options{Daemons: 2})
	for _, d := range s.Daemons {
		r := send(d, chatPath, chat("berth", 12, true))
		text, complete := enginefake.JoinStream(r.body)
		must.True(t, complete)
		must.Eq(t, answerTo("berth", 12), text)
		must.Eq(t, Place, r.header.Get("Pearlanding-Place"))
		must.NotEq(t, "", r.header.Get("Pearlanding-Epoch"))

		r = send(d, chatPath, chat("berth", 12, false))
		must.Eq(t, http.StatusOK, r.status)
		must.StrContains(t, r.body, answerTo("berth", 12))
	}
	t.Run("refusals", func(t *testing.T) { checkRefusals(t, s.Daemons[0]) })
	t.Run("crossed and cut", func(t *testing.T) { checkCrossedAndCutAnswers(t, s) })
	t.Run("at most once", func(t *testing.T) { checkAtMostOnce(t, s) })
	checkEngineRecords(t, s)
}

func checkRefusals(t *testing.T, d *RunningDaemon) {
	for _, tc := range []struct {
		path, body string
		headers    []string
		status     int
		code       problem.Code
	}{
		{chatPath, `{`, nil, 400, problem.CodeBadRequest},
		{chatPath, `{"model":"berthing-plan"}`, nil, 400, problem.CodeBadRequest},
		{chatPath, `{"model":"other","messages":[]}`, nil, 404, problem.CodeModelNotFound},
		{chatPath, chat("x", 1, false), []string{"Authorization", "Bearer wrong"}, 401, problem.CodeUnauthorized},
		{chatPath, chat("x", 1, false), []string{"Pearlanding-Repeat", "never"}, 400, problem.CodeIdempotencyKeyMissing},
		{chatPath, chat("x", 1, false), []string{"Pearlanding-Resume-From", "x"}, 400, problem.CodeBadRequest},
		{"/services/other/x", "", nil, 404, problem.CodeServiceNotFound},
		{"/services/" + Service + "/x", "", nil, 400, problem.CodeIdempotencyKeyMissing},
		{chatPath, strings.Repeat("x", d.Settings.Limits.MaxBodyBytes+1), nil, 413, problem.CodeBodyTooLarge},
		{"/nowhere", "", nil, 404, problem.CodeNotFound},
	} {
		r := send(d, tc.path, tc.body, tc.headers...)
		must.Eq(t, tc.status, r.status, must.Sprint(tc.path, tc.code, r.err))
		must.Eq(t, tc.code, r.problem.Code)
		must.Eq(t, problem.NotRun, r.problem.Outcome)
	}
}

// checkCrossedAndCutAnswers checks that with a single replica, a cut answer or one with
// another request's id is reported as a failure that may have run.
func checkCrossedAndCutAnswers(t *testing.T, s *System) {
	d, engine := s.Daemons[0], leadVM(t, s).Engine
	engine.SetFaults(enginefake.Faults{CrossNext: true})
	r := send(d, chatPath, chat("crossed", 4, false))
	must.Eq(t, http.StatusBadGateway, r.status)
	must.Eq(t, problem.MayHaveRun, r.problem.Outcome)

	for _, stream := range []bool{false, true} {
		engine.SetFaults(enginefake.Faults{CrossBody: true})
		r = send(d, chatPath, chat("crossed", 4, stream))
		must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body))
		must.Eq(t, problem.MayHaveRun, r.problem.Outcome)
	}

	engine.SetFaults(enginefake.Faults{CutAfterTokens: 3})
	r = send(d, chatPath, chat("cut", 9, true))
	text, complete := enginefake.JoinStream(r.body)
	must.False(t, complete)
	must.Eq(t, answerTo("cut", 3), text)
	must.Error(t, r.err, must.Sprint("a cut stream must not end like a complete one"))
	must.StrContains(t, r.body, "event: error")

	engine.SetFaults(enginefake.Faults{CutAfterTokens: 3})
	r = send(d, chatPath, chat("cut", 9, false))
	must.Eq(t, http.StatusBadGateway, r.status)

	r = send(d, chatPath, chat("cut", 9, true), "Pearlanding-Resume-From", "3")
	text, complete = enginefake.JoinStream(r.body)
	must.True(t, complete)
	must.Eq(t, strings.TrimPrefix(answerTo("cut", 9), answerTo("cut", 3)), text)
}

func checkAtMostOnce(t *testing.T, s *System) {
	path := "/services/" + Service + "/crew-calls"
	t.Run("repeat gets the recorded answer", func(t *testing.T) {
		first := send(s.Daemons[0], path, `{"tug":"Atlas"}`, "Idempotency-Key", "k1")
		must.Eq(t, http.StatusOK, first.status)
		second := send(s.Daemons[1], path, `{"tug":"Atlas"}`, "Idempotency-Key", "k1")
		must.Eq(t, first.body, second.body)
		must.Eq(t, "true", second.header.Get("Pearlanding-Replayed"))
		other := send(s.Daemons[1], path, `{"tug":"Other"}`, "Idempotency-Key", "k1")
		must.Eq(t, problem.CodeIdempotencyKeyReused, other.problem.Code)
	})
	t.Run("lost answer is never sent again", func(t *testing.T) {
		s.Service.SetFaults(servicefake.Faults{CutNext: 1})
		r := send(s.Daemons[0], path, `{}`, "Idempotency-Key", "k2")
		must.Eq(t, problem.MayHaveRun, r.problem.Outcome)
		for _, d := range s.Daemons {
			r = send(d, path, `{}`, "Idempotency-Key", "k2")
			must.Eq(t, problem.CodeOutcomeUnknown, r.problem.Code)
			must.Eq(t, problem.MayHaveRun, r.problem.Outcome)
		}
	})
	t.Run("same key through both daemons at once", func(t *testing.T) {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				send(s.Daemons[i%2], path, `{}`, "Idempotency-Key", fmt.Sprintf("race-%d", i/6))
			})
		}
		wg.Wait()
	})
	t.Run("model request", func(t *testing.T) {
		first := send(s.Daemons[0], chatPath, chat("once", 5, true), "Idempotency-Key", "m1", "Pearlanding-Repeat", "never")
		_, complete := enginefake.JoinStream(first.body)
		must.True(t, complete)
		again := send(s.Daemons[1], chatPath, chat("once", 5, true), "Idempotency-Key", "m1", "Pearlanding-Repeat", "never")
		one, _ := enginefake.JoinStream(first.body)
		two, _ := enginefake.JoinStream(again.body)
		must.Eq(t, one, two)
		must.Eq(t, "true", again.header.Get("Pearlanding-Replayed"))
	})
	for key, runs := range s.Service.Runs() {
		must.Eq(t, 1, runs, must.Sprint("runs of", key))
	}
}

// TestResumeOnAnotherReplica guards against lost or repeated tokens when a cut stream is
// resumed on a second replica.
func TestResumeOnAnotherReplica(t *testing.T) {
	s := start(t, Options{Daemons: 1, VMs: 4, GroupSize: 2, Replicas: 2})
	for _, vm := range s.VMs {
		vm.Engine.SetFaults(enginefake.Faults{CutAfterTokens: 5}) // the remaining three tokens are not cut
	}
	r := send(s.Daemons[0], chatPath, chat("resume", 8, true))
	text, complete := enginefake.JoinStream(r.body)
	must.True(t, complete, must.Sprint(r.body))
	must.Eq(t, answerTo("resume", 8), text)
	checkEngineRecords(t, s)
}

// TestRequestEndsAtItsDeadline guards against requests that run past their deadline: the
// caller must be answered when it passes, and the engine must stop the request.
func TestRequestEndsAtItsDeadline(t *testing.T) {
	s := start(t, Options{Daemons: 1, VMs: 1, GroupSize: 1, Adjust: map[string]string{"limits.deadline": "1s"}})
	r := send(s.Daemons[0], chatPath, chat("too long", 1000, false))
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	must.Eq(t, problem.CodeDeadlineExceeded, r.problem.Code)
	must.Eq(t, problem.MayHaveRun, r.problem.Outcome)
	engine := leadVM(t, s).Engine
	await(t, s.Daemons[0], "the engine is free again", func(*control.Snapshot) bool { return engine.Status().Running == 0 })

	r = send(s.Daemons[0], chatPath, chat("too long", 1000, true))
	_, complete := enginefake.JoinStream(r.body)
	must.False(t, complete)
	must.StrContains(t, r.body, string(problem.CodeDeadlineExceeded))
}
