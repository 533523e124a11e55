package faultrun

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/catalog"
	"pearlanding/internal/operator"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin/enginefake"
)

// Report holds the counts of one run and the promises that it found broken.
type Report struct {
	mu         sync.Mutex
	Seed       uint64
	Faults     []string
	Streams    int
	Complete   int
	Calls      int
	Answered   int
	NotRun     int
	MayHaveRun int
	Accepted   int
	Violations []string
}

func (r *Report) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// run is a run in progress.
type run struct {
	s      *system
	report *Report
	client *http.Client
	// outcomes holds by idempotency key what callers of at-most-once calls were told.
	mu               sync.Mutex
	outcomes         map[string]string
	acceptedRevision uint64
	seenRevisions    map[int]uint64 // highest revision seen at each daemon, by its index
}

// startTimeout limits the start of the system, recoveryTimeout its recovery after the last
// fault.
const (
	startTimeout    = 30 * time.Second
	recoveryTimeout = 30 * time.Second
)

// Run makes one run. It returns an error if the run could not be made; broken promises are
// in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	report := &Report{Seed: o.Seed}
	s, err := startSystem(o)
	if err != nil {
		return report, err
	}
	defer s.stop()
	r := &run{s: s, report: report, client: &http.Client{Timeout: 15 * time.Second}, outcomes: map[string]string{}, seenRevisions: map[int]uint64{}}
	if err := r.prepare(ctx); err != nil {
		return report, errors.Annotate(err, "the system did not start serving")
	}
	load, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() { r.sendStreams(load, worker) })
		wg.Go(func() { r.sendCalls(load, worker) })
	}
	wg.Go(func() { r.makeChanges(load) })
	inject(ctx, s, rand.New(rand.NewPCG(o.Seed, 1)), o.Duration, report)
	err = r.awaitServing(ctx, recoveryTimeout)
	stopLoad()
	wg.Wait()
	if err != nil {
		report.violation("the system did not serve again after all faults were repaired: %v", err)
	}
	r.checkRecords(ctx)
	return report, nil
}

func (r *run) configuration() string {
	digest := sha256.Sum256([]byte(token))
	return fmt.Sprintf("[template m]\nmodel = m\nversion = 1\nvms = %d\nreplicas = %d\nplaces = rio-grande\n"+
		"[service svc]\ninstances = rio-grande@%s\nat_most_once = POST\n"+
		"[workspace w]\ntoken_sha256 = %x\nplaces = rio-grande\nservices = svc\n[workspace w model m]\ntemplate = m\n",
		groupSize, len(domains), r.s.service, digest)
}

// prepare applies the configuration and waits until the system serves.
func (r *run) prepare(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for {
		_, err := operator.NewClient(r.s.daemons[0].operators, "", "faultrun").Apply(ctx, "run.ini", []byte(r.configuration()))
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r.awaitServing(ctx, time.Until(deadline))
}

// awaitServing waits until every daemon has answered with a complete stream.
func (r *run) awaitServing(ctx context.Context, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := range r.s.daemons {
		for !r.sendStream(ctx, i, "is it serving", 3, false) {
			if time.Now().After(deadline) {
				return errors.Errorf("daemon %d does not answer with a complete stream", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) post(ctx context.Context, daemon int, path, body, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.s.daemons[daemon].callers+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return r.client.Do(req)
}

// sendStreams sends streamed model requests to random daemons until ctx ends.
func (r *run) sendStreams(ctx context.Context, worker int) {
	for i := 0; ctx.Err() == nil; i++ {
		r.sendStream(ctx, rand.IntN(len(r.s.daemons)), fmt.Sprintf("prompt %d of %d", i, worker), 4+rand.IntN(40), true)
	}
}

// sendStream sends one request and reports whether its answer was complete. It reports a
// violation if an answer that looks complete is not exactly right, or if a cut answer ends
// like a complete one.
func (r *run) sendStream(ctx context.Context, daemon int, prompt string, tokens int, counted bool) bool {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	if counted {
		r.report.count(&r.report.Streams)
	}
	resp, err := r.post(ctx, daemon, "/v1/chat/completions", body, "")
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	text, done := enginefake.JoinStream(string(data))
	want := enginefake.Answer("\n"+prompt, tokens)
	switch {
	case done && text != want:
		r.report.violation("promise 3: a stream that ended as complete was not: %d bytes of %d", len(text), len(want))
	case !done && err == nil:
		r.report.violation("promise 3: a cut stream ended like a complete transfer")
	case !strings.HasPrefix(want, text):
		r.report.violation("promise 3: a cut stream contained tokens of another answer")
	}
	if done && counted {
		r.report.count(&r.report.Complete)
	}
	return done
}

// sendCalls sends at-most-once calls until ctx ends, each key up to three times through
// random daemons.
func (r *run) sendCalls(ctx context.Context, worker int) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("key-%d-%d", worker, i)
		keyOutcome := "not_run"
		for range 3 {
			outcome := r.sendCall(ctx, key)
			if outcome != "not_run" {
				keyOutcome = outcome
			}
			if outcome == "answered" {
				break
			}
		}
		r.mu.Lock()
		r.outcomes[key] = keyOutcome
		r.mu.Unlock()
	}
}

// sendCall makes one call and returns what the caller was told: answered, not_run,
// may_have_run or unknown.
func (r *run) sendCall(ctx context.Context, key string) string {
	r.report.count(&r.report.Calls)
	resp, err := r.post(ctx, rand.IntN(len(r.s.daemons)), "/services/svc/crew-calls", "{}", key)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return "unknown"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unknown"
	}
	if resp.StatusCode == http.StatusOK {
		r.report.count(&r.report.Answered)
		return "answered"
	}
	var p problem.Problem
	if json.Unmarshal(data, &p) != nil {
		r.report.violation("a refusal without problem details: %d %s", resp.StatusCode, data)
		return "unknown"
	}
	time.Sleep(20 * time.Millisecond)
	if p.Outcome == problem.NotRun {
		r.report.count(&r.report.NotRun)
		return "not_run"
	}
	r.report.count(&r.report.MayHaveRun)
	return "may_have_run"
}

// makeChanges edits the template through random daemons until ctx ends. After each edit it
// checks that no daemon admits requests under a revision older than the last accepted one.
func (r *run) makeChanges(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		client := operator.NewClient(r.s.daemons[rand.IntN(len(r.s.daemons))].operators, "", "faultrun")
		callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		if text, err := client.Entry(callCtx, templateRef); err == nil {
			edited := strings.Replace(text, "priority = ", fmt.Sprintf("priority = %d\n;was ", i%10), 1)
			if result, err := client.Apply(callCtx, "edit.ini", []byte(edited)); err == nil && result.Verdict == "accepted" {
				r.report.count(&r.report.Accepted)
				r.acceptedRevision = max(r.acceptedRevision, result.Revision)
			}
		}
		cancel()
		r.checkRevisions(ctx)
		time.Sleep(300 * time.Millisecond)
	}
}

func (r *run) checkRevisions(ctx context.Context) {
	accepted := r.acceptedRevision
	for i, d := range r.s.daemons {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, err := operator.NewClient(d.operators, "", "faultrun").Status(callCtx)
		cancel()
		if err != nil || !status.Admitting {
			continue
		}
		if status.Revision < accepted {
			r.report.violation("promise 8: daemon %d admits under revision %d after %d was accepted", i, status.Revision, accepted)
		}
		if status.Revision < r.seenRevisions[i] {
			r.report.violation("promise 8: daemon %d went back from revision %d to %d", i, r.seenRevisions[i], status.Revision)
		}
		r.seenRevisions[i] = max(r.seenRevisions[i], status.Revision)
	}
}

// checkRecords checks the stand-ins' own records against what callers were told.
func (r *run) checkRecords(ctx context.Context) {
	runs := map[string]int{}
	if err := r.get(ctx, "http://"+r.s.service+"/fake/runs", &runs); err != nil {
		r.report.violation("the service's record could not be read: %v", err)
	}
	for key, n := range runs {
		if n > 1 {
			r.report.violation("promise 5: %s ran %d times", key, n)
		}
	}
	for key, outcome := range r.outcomes {
		switch {
		case outcome == "not_run" && runs[key] > 0:
			r.report.violation("promise 4: %s was refused as not run, but ran", key)
		case outcome == "answered" && runs[key] != 1:
			r.report.violation("promise 5: %s was answered, but ran %d times", key, runs[key])
		}
	}
	for _, e := range r.s.engines {
		var served []enginefake.Served
		if err := r.get(ctx, "http://"+e+"/fake/served", &served); err != nil {
			r.report.violation("an engine's record could not be read: %v", err)
		}
		for _, one := range served {
			if one.Partial && one.Complete {
				r.report.violation("promise 1: group %s at epoch %d served while partly assembled", one.Group, one.Epoch)
			}
		}
	}
}

func (r *run) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	return errors.Trace(json.NewDecoder(resp.Body).Decode(out))
}

var templateRef = catalog.Ref{Kind: catalog.KindTemplate, Name: "m"}
