package faultrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// fault is one kind of fault. apply injects it and returns the function that repairs it
// after duration.
type fault struct {
	name     string
	duration time.Duration
	apply    func(ctx context.Context, s *system, r *rand.Rand) (repair func())
}

func noRepair() {}

// faults lists the kinds from which a schedule draws.
var faults = []fault{
	{"daemon killed", time.Second, func(_ context.Context, s *system, r *rand.Rand) func() {
		i := r.IntN(len(s.daemons))
		s.procs[daemonName(i)].kill()
		return func() { _ = s.startDaemon(i) }
	}},
	{"daemon frozen", 3 * time.Second, func(_ context.Context, s *system, r *rand.Rand) func() {
		p := s.procs[daemonName(r.IntN(len(s.daemons)))]
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"platform outage", 3 * time.Second, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{"outage":true}`)
		return func() { setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{}`) }
	}},
	{"platform answers lost", time.Second, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{"lose_answers":4}`)
		return func() { setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{}`) }
	}},
	{"platform slow", 2 * time.Second, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{"slow_ms":400}`)
		return func() { setFault(ctx, http.MethodPut, s.platform+"/fake/faults", `{}`) }
	}},
	{"VM restarted", 0, func(ctx context.Context, s *system, r *rand.Rand) func() {
		setFault(ctx, http.MethodPost, "http://"+s.engines[r.IntN(len(s.engines))]+"/fake/restart", "")
		return noRepair
	}},
	{"streams cut", 0, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		for _, e := range s.engines {
			setFault(ctx, http.MethodPut, "http://"+e+"/fake/faults", `{"cut_after_tokens":4}`)
		}
		return noRepair
	}},
	{"answers crossed", 0, func(ctx context.Context, s *system, r *rand.Rand) func() {
		setFault(ctx, http.MethodPut, "http://"+s.engines[r.IntN(len(s.engines))]+"/fake/faults", `{"cross_next":true}`)
		return noRepair
	}},
	{"engine leaving", 2 * time.Second, func(ctx context.Context, s *system, r *rand.Rand) func() {
		e := "http://" + s.engines[r.IntN(len(s.engines))] + "/fake/faults"
		setFault(ctx, http.MethodPut, e, `{"leaving":true}`)
		return func() { setFault(ctx, http.MethodPut, e, `{}`) }
	}},
	{"domain frozen", 3 * time.Second, func(_ context.Context, s *system, r *rand.Rand) func() {
		p := s.procs["engines-"+domains[r.IntN(len(domains))]]
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"service cuts answers", 0, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		setFault(ctx, http.MethodPut, "http://"+s.service+"/fake/faults", `{"cut_next":3}`)
		return noRepair
	}},
	{"service slow", 2 * time.Second, func(ctx context.Context, s *system, _ *rand.Rand) func() {
		setFault(ctx, http.MethodPut, "http://"+s.service+"/fake/faults", `{"slow_ms":300}`)
		return func() { setFault(ctx, http.MethodPut, "http://"+s.service+"/fake/faults", `{}`) }
	}},
}

// meanFaultInterval is the mean time from one fault to the next; several may be in effect at
// the same time.
const meanFaultInterval = 1200 * time.Millisecond

// inject draws and applies faults until duration has passed, then repairs all of them. A kind
// is not drawn again while it is in effect.
func inject(ctx context.Context, s *system, r *rand.Rand, duration time.Duration, report *Report) {
	type due struct {
		at     time.Time
		repair func()
	}
	var repairs []due
	busy := map[string]bool{}
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		if !busy[f.name] {
			repair := f.apply(ctx, s, r)
			report.Faults = append(report.Faults, f.name)
			busy[f.name] = true
			repairs = append(repairs, due{time.Now().Add(f.duration), func() { repair(); busy[f.name] = false }})
		}
		wait := meanFaultInterval/2 + time.Duration(r.Int64N(int64(meanFaultInterval)))
		until := time.Now().Add(wait)
		for time.Now().Before(until) {
			time.Sleep(20 * time.Millisecond)
			for i := 0; i < len(repairs); i++ {
				if time.Now().After(repairs[i].at) {
					repairs[i].repair()
					repairs = append(repairs[:i], repairs[i+1:]...)
					i--
				}
			}
		}
	}
	for _, d := range repairs {
		d.repair()
	}
}

// String returns the counts in one line, followed by one line for each violation.
func (r *Report) String() string {
	out := fmt.Sprintf("seed %d: %d faults, %d streams (%d whole), %d at-most-once calls (%d answered, %d not run, %d may have run), %d changes accepted, %d violations",
		r.Seed, len(r.Faults), r.Streams, r.Complete, r.Calls, r.Answered, r.NotRun, r.MayHaveRun, r.Accepted, len(r.Violations))
	for _, v := range r.Violations {
		out += "\n  " + v
	}
	return out
}
