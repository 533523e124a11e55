package embedded

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/control"
	"pearlanding/internal/group"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/operator"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin/enginefake"
	"pearlanding/internal/standin/platformfake"
)

// TestPlatformOutage guards against daemons that stop serving in a platform outage longer
// than every lease. Requests that need the platform must be refused as not run, and served
// again after the outage.
func TestPlatformOutage(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	s.Platform.SetFaults(platformfake.Faults{Outage: true})
	began := time.Now()
	lease := s.Daemons[0].Settings.Timing.AdmissionLease
	await(t, s.Daemons[0], "outage longer than two leases", func(*control.Snapshot) bool { return time.Since(began) > 2*lease })
	for _, d := range s.Daemons {
		r := send(d, chatPath, chat("outage", 4, false))
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
		r = send(d, "/services/"+Service+"/x", "{}", "Idempotency-Key", "outage")
		must.Eq(t, problem.CodeLedgerUnavailable, r.problem.Code)
		must.Eq(t, problem.NotRun, r.problem.Outcome)
		must.NotEq(t, "", r.header.Get("Retry-After"))
	}
	// A daemon stops during the outage; the others keep serving.
	s.Daemons[2].Stop()
	<-s.Daemons[2].Done
	s.Daemons[2].Done <- nil
	began = time.Now()
	await(t, s.Daemons[0], "two leases without a daemon", func(*control.Snapshot) bool { return time.Since(began) > 2*lease })
	r := send(s.Daemons[0], chatPath, chat("outage", 4, false))
	must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))

	s.Platform.SetFaults(platformfake.Faults{})
	await(t, s.Daemons[0], "platform back", func(snap *control.Snapshot) bool { return time.Since(snap.PlatformAsOf) < lease })
	r = send(s.Daemons[0], "/services/"+Service+"/x", "{}", "Idempotency-Key", "outage")
	must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
	must.Eq(t, 1, s.Service.Runs()["outage"])
}

// TestMemberDeath guards against a group that stays down, or serves partly assembled, after
// one of its VMs failed. It logs the times until the group gets no requests, is declared
// down, and serves again; the result does not depend on them.
func TestMemberDeath(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	d := s.Daemons[0]
	victim := vmAt(t, s, d.Control().Snapshot().Domains[Domain].Domain.Groups[Domain+".1"].Members[2].Address)
	died := time.Now()
	victim.Kill()
	await(t, d, "not dispatched to", func(snap *control.Snapshot) bool {
		list := snap.Targets[Pool]
		return len(list) == 0 || time.Since(list[0].ReadyAt) > d.Settings.Timing.EvidenceAge
	})
	undispatched := time.Since(died)
	await(t, d, "declared down", func(snap *control.Snapshot) bool {
		return snap.Domains[Domain].Domain.Groups[Domain+".1"].State != group.StateServing
	})
	down := time.Since(died)
	snap := await(t, d, "serving again", func(snap *control.Snapshot) bool {
		return len(snap.Targets[Pool]) == 1 && snap.Targets[Pool][0].Epoch > 1
	})
	t.Logf("VM death to: last possible dispatch %v, declared down %v, serving again %v", undispatched, down, time.Since(died))
	must.Eq(t, Domain+".1", snap.Targets[Pool][0].Group)
	r := send(d, chatPath, chat("again", 9, false))
	must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))

	// The VM restarts and must not join a group by itself.
	must.NoError(t, victim.Boot())
	r = send(d, chatPath, chat("again", 9, false))
	must.Eq(t, http.StatusOK, r.status)
	checkEngineRecords(t, s)
}

// checkLeave starts a request, makes its VM leave, and checks that the request is not cut,
// that the VM gets no new work, and that the group serves again without the VM.
func checkLeave(t *testing.T, s *System, leave func(vm string)) {
	t.Helper()
	d := s.Daemons[1]
	target := d.Control().Snapshot().Targets[Pool][0]
	vm := vmAt(t, s, target.Address)
	var wg sync.WaitGroup
	var long reply
	wg.Go(func() { long = send(d, chatPath, chat("long", 200, true)) })
	await(t, d, "request in progress", func(*control.Snapshot) bool { return vm.Engine.Status().Running > 0 })
	visible := time.Now()
	leave(vm.Row.Name)
	for _, daemon := range s.Daemons {
		await(t, daemon, "no new work", func(snap *control.Snapshot) bool {
			list := snap.Targets[Pool]
			return len(list) == 0 || list[0].Epoch != target.Epoch
		})
	}
	t.Logf("leave to no new work at every daemon: %v", time.Since(visible))
	r := send(d, chatPath, chat("refused", 2, false))
	must.True(t, r.status == http.StatusOK || r.problem.Outcome == problem.NotRun)
	wg.Wait()
	text, complete := enginefake.JoinStream(long.body)
	must.True(t, complete, must.Sprint("a request was cut by a planned leave", long.err))
	must.Eq(t, answerTo("long", 200), text)
	snap := await(t, d, "serving without it", func(snap *control.Snapshot) bool {
		return len(snap.Targets[Pool]) == 1 && snap.Targets[Pool][0].Epoch > target.Epoch
	})
	for _, m := range snap.Domains[Domain].Domain.Groups[snap.Targets[Pool][0].Group].Members {
		must.NotEq(t, vm.Row.Name, m.VM)
	}
	checkEngineRecords(t, s)
}

// TestLeaveByOperator guards against requests cut by an operator's drain.
func TestLeaveByOperator(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	checkLeave(t, s, func(vm string) {
		// Two operators drain the same VM at once: both calls succeed.
		var wg sync.WaitGroup
		for _, d := range s.Daemons[:2] {
			wg.Go(func() {
				_, err := d.Operator().SetIntent(context.Background(), vm, "drain")
				must.NoError(t, err)
			})
		}
		wg.Wait()
	})
}

// TestLeaveByPlatformList guards against requests cut when the platform's list marks a VM as
// leaving.
func TestLeaveByPlatformList(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	checkLeave(t, s, func(vm string) { s.Platform.SetVMState(vm, objectapi.VMLeaving) })
}

// TestLeaveByEngineInOutage guards against new work for an engine that reports that it is
// leaving while the platform is unavailable.
func TestLeaveByEngineInOutage(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	s.Platform.SetFaults(platformfake.Faults{Outage: true})
	vm := leadVM(t, s)
	visible := time.Now()
	vm.Engine.SetFaults(enginefake.Faults{Leaving: true})
	for _, d := range s.Daemons {
		await(t, d, "no new work", func(snap *control.Snapshot) bool { return len(snap.Targets[Pool]) == 0 })
	}
	t.Logf("leave to no new work at every daemon: %v", time.Since(visible))
	r := send(s.Daemons[0], chatPath, chat("x", 2, false))
	must.Eq(t, problem.CodeNoReplica, r.problem.Code)
}

// TestStoppingDaemonFinishesItsRequests guards against streams cut by a clean stop, and
// against a daemon that ends before it has left the registry.
func TestStoppingDaemonFinishesItsRequests(t *testing.T) {
	s := start(t, Options{Daemons: 2})
	d := s.Daemons[1]
	var wg sync.WaitGroup
	var long reply
	wg.Go(func() { long = send(d, chatPath, chat("stop", 150, true)) })
	vm := leadVM(t, s)
	await(t, d, "request in progress", func(*control.Snapshot) bool { return vm.Engine.Status().Running > 0 })
	d.Stop()
	await(t, s.Daemons[0], "left the registry", func(snap *control.Snapshot) bool { return len(snap.Peers) == 1 })
	r := send(d, chatPath, chat("late", 2, false))
	must.True(t, r.err != nil || r.problem.Code == problem.CodeDaemonStopping, must.Sprint(r))
	must.NoError(t, <-d.Done)
	d.Done <- nil
	must.Eq(t, int64(0), d.InFlight(), must.Sprint("the daemon ended before its requests"))
	wg.Wait()
	text, complete := enginefake.JoinStream(long.body)
	must.True(t, complete)
	must.Eq(t, answerTo("stop", 150), text)
}

// TestConfigurationRace guards against a lost update when two operators edit the same entry:
// one change must be accepted and in force at every daemon, the other refused as a conflict.
func TestConfigurationRace(t *testing.T) {
	s := start(t, Options{Daemons: 3})
	ctx := context.Background()
	_, err := operator.NewClient("127.0.0.1:1", "", "").Status(ctx)
	must.ErrorIs(t, err, operator.ErrUnreachable, must.Sprint("nothing was sent, so the outcome is known"))
	text, err := s.Daemons[0].Operator().Entry(ctx, ref("template", "pearl-despacho"))
	must.NoError(t, err)
	var wg sync.WaitGroup
	errs := make([]error, 2)
	results := make([]operator.ChangeResult, 2)
	for i := range 2 {
		edited := strings.Replace(text, "priority = 5", "priority = "+string('7'+byte(i)), 1)
		wg.Go(func() {
			results[i], errs[i] = s.Daemons[i].Operator().Apply(ctx, "edit.ini", []byte(edited))
		})
	}
	wg.Wait()
	must.True(t, (errs[0] == nil) != (errs[1] == nil), must.Sprint(errs))
	for i, err := range errs {
		if err == nil {
			must.Eq(t, "accepted", string(results[i].Verdict))
			for _, d := range s.Daemons {
				must.Eq(t, 7+i, d.Control().Snapshot().Head.Doc.Templates["pearl-despacho"].Priority)
			}
			continue
		}
		var refused *operator.ProblemError
		must.True(t, errors.As(err, &refused))
		must.Eq(t, problem.CodeConflict, refused.Code)
		must.SliceLen(t, 1, refused.Conflicts)
		must.Eq(t, "embedded", refused.Conflicts[0].By)
	}
}

// TestConfigurationWithLostAnswer guards against a change that is lost or made twice when the
// platform's answer to its write is lost.
func TestConfigurationWithLostAnswer(t *testing.T) {
	s := start(t, Options{Daemons: 2})
	ctx := context.Background()
	text, err := s.Daemons[0].Operator().Entry(ctx, ref("template", "pearl-despacho"))
	must.NoError(t, err)
	before := s.Daemons[0].Control().Snapshot().Head.Revision
	s.Platform.SetFaults(platformfake.Faults{LoseAnswers: 1})
	result, err := s.Daemons[0].Operator().Apply(ctx, "edit.ini", []byte(strings.Replace(text, "priority = 5", "priority = 8", 1)))
	must.NoError(t, err)
	must.Eq(t, "accepted", string(result.Verdict))
	must.Eq(t, before+1, result.Revision)
}

// TestAllDaemonsReplaced guards against lost changes and requests when every daemon is
// replaced, one after another, by one with another name.
func TestAllDaemonsReplaced(t *testing.T) {
	s := start(t, Options{Daemons: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	for i := range 2 {
		old := s.Daemons[i]
		fresh, err := s.AddDaemon()
		must.NoError(t, err)
		must.NoError(t, fresh.Ready(ctx))
		old.Stop()
		must.NoError(t, <-old.Done)
		old.Done <- nil
		text, err := fresh.Operator().Entry(ctx, ref("template", "pearl-despacho"))
		must.NoError(t, err)
		edited := strings.Replace(text, "priority = ", "priority = "+string('6'+byte(i))+"\n; was ", 1)
		result, err := fresh.Operator().Apply(ctx, "edit.ini", []byte(edited))
		must.NoError(t, err)
		must.Eq(t, "accepted", string(result.Verdict))
		await(t, fresh, "replica known", func(snap *control.Snapshot) bool {
			return len(snap.Targets[Pool]) == 1 && time.Since(snap.Targets[Pool][0].ReadyAt) < time.Second
		})
		r := send(fresh, chatPath, chat("served", 4, false))
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
	}
	snap := s.Daemons[3].Control().Snapshot()
	must.Eq(t, 7, snap.Head.Doc.Templates["pearl-despacho"].Priority)
	must.Eq(t, []string{"entry-3", "entry-4"}, snap.Head.Slots())
	checkEngineRecords(t, s)
}
