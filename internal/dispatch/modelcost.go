package dispatch

import (
	"time"

	"pearlanding/internal/routes"
)

// replicaCost is what requests of a model cost a replica in steady state. Times are in seconds, loads
// in requests.
type replicaCost struct {
	slots          float64 // requests that the replica runs at the same time
	passTime       float64 // time of a pass, without its requests
	passPerRequest float64 // added to a pass for each request in progress
	prefill        float64 // time to read the mean prompt
	passes         float64 // passes of the mean answer
}

// passesBeforeFirstEvent is the mean number of passes from the arrival at a free slot to the first
// event: half of the running pass, and the one that reads the prompt.
const passesBeforeFirstEvent = 1.5

// costOf returns the costs of a model's requests; ok is false if the timing is not configured.
func costOf(e *routes.Engine, model string, usual usualRequest) (c replicaCost, ok bool) {
	if e == nil || e.Slots <= 0 || e.StepTime <= 0 || e.MeanAnswerTokens <= 0 {
		return c, false
	}
	m, known := e.Model(model)
	if !known || m.TimeFactor <= 0 {
		return c, false
	}
	usual = usual.or(e)
	steps := float64(max(e.StepsPerPass, 1))
	c = replicaCost{
		slots:          float64(e.Slots),
		passTime:       steps * e.StepTime.Seconds() * m.TimeFactor,
		passPerRequest: steps * e.StepTimePerRequest.Seconds() * m.TimeFactor,
		prefill:        prefillSeconds(e, m, usual.promptTokens),
		passes:         max(usual.answerTokens/steps, 1),
	}
	return c, c.valid()
}

// valid reports whether a replica with these costs completes requests, one at least and not endlessly
// many in a second.
func (c *replicaCost) valid() bool {
	rate := c.rate(c.slots)
	return rate > 1/maxServiceTime && rate < maxServiceRate && c.firstEvent(0, 0) >= 0 && c.firstEvent(c.slots, 0) < maxServiceTime
}

// Bounds of a replica's costs. With others, as after a wrong unit in the configuration, streams are
// admitted by this daemon's own observations.
const (
	maxServiceTime = 3600.0 // seconds
	maxServiceRate = 1e6    // requests per second
)

// prefillSeconds returns how long a replica takes to read a prompt.
func prefillSeconds(e *routes.Engine, m routes.Model, promptTokens float64) float64 {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return promptTokens / e.PrefillTokensPerSecond * m.TimeFactor
}

// stay returns how long a request stays at a replica that runs n requests: its own passes, and the
// reading of the prompts that arrive meanwhile.
func (c *replicaCost) stay(n float64) float64 {
	return c.passes*(c.passTime+n*c.passPerRequest) + n*c.prefill
}

// rate returns how many requests per second a replica with n requests completes.
func (c *replicaCost) rate(n float64) float64 {
	n = min(n, c.slots)
	return n / c.stay(n)
}

// pass returns the mean time of a pass with n requests in progress, with the prompts it reads.
func (c *replicaCost) pass(n float64) float64 {
	return (c.passTime + n*c.passPerRequest) / (1 - c.rate(n)*c.prefill)
}

// passGrowth returns by how much a request in progress makes a mean pass longer, with its part of the prompts
// that are read.
func (c *replicaCost) passGrowth() float64 { return c.passPerRequest + c.prefill/c.passes }

// inProgress returns with how many requests in progress a mean pass takes a time, in seconds.
func (c *replicaCost) inProgress(pass float64) float64 {
	return min(max((pass-c.passTime)/c.passGrowth(), 0), c.slots)
}

// firstEvent returns the expected wait for a first event at a replica with n other requests, in
// seconds. fastest is the fastest one measured; it includes the network.
func (c *replicaCost) firstEvent(n, fastest float64) float64 {
	running := max(min(n+1, c.slots), 1)
	pass := c.pass(running)
	return max(n+1-c.slots, 0)/c.rate(c.slots) + max(passesBeforeFirstEvent*pass, fastest+(passesBeforeFirstEvent-1)*pass)
}

// maxLoad returns up to how many other requests a replica may have so that a first event is expected
// within a time, in seconds; negative: not even at an idle replica.
func (c *replicaCost) maxLoad(within, fastest float64) float64 {
	idle, full := c.firstEvent(0, fastest), c.firstEvent(c.slots-1, fastest)
	switch {
	case within < idle:
		return -1
	case within < full:
		return (c.slots - 1) * (within - idle) / (full - idle)
	}
	return c.slots - 1 + (within-full)*c.rate(c.slots)
}

// usualRequest holds the mean tokens of a model's requests, learned from those that this daemon
// completed. The zero value: none completed.
type usualRequest struct {
	promptTokens, answerTokens float64
	prompts, answers           float64 // how many of each were observed, at most learnedRequests
}

// learnedRequests is the number of requests over which the means are taken. The means of the service
// count as priorRequests of them: those of its models differ by half.
const (
	learnedRequests = 200
	priorRequests   = 10
)

// or returns the means, those of the service in so far as few requests were observed.
func (u usualRequest) or(e *routes.Engine) usualRequest {
	mix := func(learned, observed float64, service int) float64 {
		return (learned*observed + float64(service)*priorRequests) / (observed + priorRequests)
	}
	return usualRequest{promptTokens: mix(u.promptTokens, u.prompts, e.MeanPromptTokens), answerTokens: mix(u.answerTokens, u.answers, e.MeanAnswerTokens)}
}

// NoteCompleted records a stream that was answered completely from its beginning. Token counts of 0
// are not known.
func (p *Picker) NoteCompleted(model ModelKey, promptTokens, answerTokens int) {
	learn := func(mean, observed *float64, tokens int) {
		if tokens > 0 {
			*observed = min(*observed+1, learnedRequests)
			*mean += (float64(tokens) - *mean) / *observed
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &p.statsOf(model).usual
	learn(&u.promptTokens, &u.prompts, promptTokens)
	learn(&u.answerTokens, &u.answers, answerTokens)
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
