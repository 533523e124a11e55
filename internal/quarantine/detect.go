package quarantine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/pause"
	"pearlanding/internal/steady"
)

// ErrQuarantined is the cause with which sends of a quarantined content are canceled.
const ErrQuarantined = errors.ConstError("quarantine: this request crashed the instances that ran it")

// Parameters of the detection.
const (
	// clearedAfter is the time after the first event of its answer from which a request is no
	// suspect. The shorter it is, the fewer harmless requests are quarantined after crashes.
	clearedAfter = 300 * time.Millisecond
	// crashRetention is how long a crash is kept for sends whose connection breaks off late.
	crashRetention = 10 * time.Second
	// probeTimeout bounds all probes of one instance's address.
	probeTimeout = 300 * time.Millisecond
)

// probeDelays are the waits before each probe of an address. A crashing process may close its
// connections a moment before it stops listening.
var probeDelays = []time.Duration{2 * time.Millisecond, 40 * time.Millisecond}

// Detector detects the instance crashes that this daemon's own sends run into. A crash is an
// address that refuses connections right after a connection to it broke off, while another
// instance accepts them. A partitioned instance or one without power answers nothing, and one that
// only breaks connections off or corrupts answers accepts new connections; neither counts as a
// crash. Nor does a refusal by every instance: this daemon is partitioned then.
type Detector struct {
	Evidence *Evidence
	Probe    func(ctx context.Context, address string) error // tries to connect
	// ReachesOther reports whether an instance at another address accepts connections from this
	// daemon; nil: always.
	ReachesOther func(ctx context.Context, address string) bool
	Now          func() time.Time
	// RunClock counts the time of probes: a process that is not scheduled sees no answer; nil: all
	// time counts.
	RunClock *steady.RunClock
	Log      *zap.Logger

	crashes          atomic.Uint64 // detected by this daemon
	mu               sync.Mutex
	sends            map[*Send]struct{}
	suspectedCrashes map[Incarnation]*suspectedCrash
}

// NewDetector returns a detector that records crashes in e.
func NewDetector(e *Evidence, probe func(ctx context.Context, address string) error, now func() time.Time, log *zap.Logger) *Detector {
	return &Detector{Evidence: e, Probe: probe, Now: now, Log: log, sends: map[*Send]struct{}{}, suspectedCrashes: map[Incarnation]*suspectedCrash{}}
}

// suspectedCrash is an incarnation with broken connections.
type suspectedCrash struct {
	at        time.Time // when the first connection broke off
	suspects  []Suspect
	confirmed bool // the instance has crashed
}

// Send is one request in progress at an instance.
type Send struct {
	detector     *Detector
	incarnation  Incarnation
	address      string
	request      *Request
	cancel       func()
	sentAt       time.Time
	mu           sync.Mutex
	firstEventAt time.Time // zero: no event yet
	cleared      bool      // the answer brought events for clearedAfter
}

// StartSend registers the send of a request to an instance. cancel is called if the request is
// quarantined before the answer's first event.
func (det *Detector) StartSend(incarnation Incarnation, address string, r *Request, cancel func()) *Send {
	s := &Send{detector: det, incarnation: incarnation, address: address, request: r, cancel: cancel, sentAt: det.Now()}
	det.mu.Lock()
	defer det.mu.Unlock()
	det.sends[s] = struct{}{}
	return s
}

// Event notes an event of the answer. An event that comes clearedAfter or more after the first
// counts as a success of the content, as a content that crashes instances crashes each of them
// as soon as it starts to run there.
func (s *Send) Event(now time.Time) {
	s.mu.Lock()
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	cleared := !s.cleared && now.Sub(s.firstEventAt) >= clearedAfter
	s.cleared = s.cleared || cleared
	s.mu.Unlock()
	if cleared {
		s.detector.RecordSuccess(s.request)
	}
}

// Done unregisters the send.
func (s *Send) Done() {
	s.detector.mu.Lock()
	defer s.detector.mu.Unlock()
	delete(s.detector.sends, s)
}

// ConnectionLost notes that the send's connection ended before the answer was complete. The request
// becomes a suspect unless the answer has brought events for clearedAfter.
func (s *Send) ConnectionLost() {
	now := s.detector.Now()
	s.mu.Lock()
	cleared := !s.firstEventAt.IsZero() && now.Sub(s.firstEventAt) >= clearedAfter
	s.mu.Unlock()
	if !cleared {
		s.detector.addSuspect(s, Suspect{s.request.Traits(), s.request.Workspace, s.sentAt}, now)
	}
}

// RecordSuccess records that a request ran without a crash. While there are no records it computes no
// digest of the content.
func (det *Detector) RecordSuccess(r *Request) {
	now := det.Now()
	det.Evidence.rememberSuccess(r.Workspace, r.parts(), now)
	if det.Evidence.Empty() {
		return
	}
	det.enforce(det.Evidence.RecordSuccess(r.Traits(), now))
}

// Quarantined reports whether a request must not be sent, and because of which trait.
func (det *Detector) Quarantined(r *Request) (Digest, bool) {
	if det.Evidence.Empty() {
		return Digest{}, false
	}
	return det.Evidence.Quarantined(r.Traits())
}

// addSuspect adds a suspect to the suspected crash of an incarnation. The first suspect starts
// the probe; one that comes after the crash was confirmed is recorded at once.
func (det *Detector) addSuspect(s *Send, suspect Suspect, now time.Time) {
	det.mu.Lock()
	crash := det.suspectedCrashes[s.incarnation]
	first := crash == nil
	if first {
		crash = &suspectedCrash{at: now}
		det.suspectedCrashes[s.incarnation] = crash
	}
	if !crash.confirmed {
		crash.suspects = append(crash.suspects, suspect)
	}
	confirmed, at := crash.confirmed, crash.at
	det.mu.Unlock()
	switch {
	case confirmed:
		det.enforce(det.Evidence.RecordCrash(s.incarnation, at, []Suspect{suspect}))
	case first:
		go det.verifyCrash(s.incarnation, s.address)
	}
}

// verifyCrash probes an instance. If the instance has crashed it records the crash with its
// suspects, otherwise it drops them.
func (det *Detector) verifyCrash(incarnation Incarnation, address string) {
	confirmed := det.refusesConnections(address) && det.reachesOther(incarnation, address)
	det.mu.Lock()
	crash := det.suspectedCrashes[incarnation]
	if crash == nil || !confirmed {
		delete(det.suspectedCrashes, incarnation)
		det.mu.Unlock()
		return
	}
	crash.confirmed = true
	det.crashes.Add(1)
	at, suspects := crash.at, crash.suspects
	crash.suspects = nil
	det.mu.Unlock()
	det.Log.Info("instance crashed with requests in progress", zap.String("instance", incarnation.Instance), zap.Int64("born", incarnation.StartedAt),
		zap.Int("suspects", len(suspects)), zap.Strings("contents", shortContents(suspects)), zap.Array("parts", suspectParts(suspects)))
	det.enforce(det.Evidence.RecordCrash(incarnation, at, suspects))
}

// maxLoggedSuspects bounds the suspects listed in one log line.
const maxLoggedSuspects = 32

// shortContents lists the suspects' contents for a log line.
func shortContents(suspects []Suspect) (out []string) {
	for _, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		out = append(out, s.Traits.Content.Short())
	}
	return out
}

// suspectParts lists the parts of each suspect's prompt for a log line, in the order of
// shortContents.
type suspectParts []Suspect

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s suspectParts) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, suspect := range s[:min(len(s), maxLoggedSuspects)] {
		enc.AppendString(strings.Join(suspect.Traits.ShortParts(), ","))
	}
	return nil
}

// refusesConnections reports whether a probe of the address fails with ECONNREFUSED. Another
// failure ends the probing, a success is followed by the next probe.
func (det *Detector) refusesConnections(address string) bool {
	ctx, cancel := det.RunClock.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for _, delay := range probeDelays {
		pause.For(ctx, delay)
		err := det.Probe(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			return false // no answer: partitioned or without power
		}
	}
	return false
}

// reachesOther reports whether another instance accepts connections, without which a refusal shows
// no crash.
func (det *Detector) reachesOther(incarnation Incarnation, address string) bool {
	if det.ReachesOther == nil {
		return true
	}
	ctx, cancel := det.RunClock.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if det.ReachesOther(ctx, address) {
		return true
	}
	det.Log.Info("refused connection not taken for a crash", zap.String("decision", "no_other_instance_accepts_connections"),
		zap.String("instance", incarnation.Instance), zap.Int64("born", incarnation.StartedAt))
	return false
}

// Crashes returns the number of crashes that this daemon detected.
func (det *Detector) Crashes() uint64 { return det.crashes.Load() }

// recentCrashWindow is how long a crash is reported to the daemon that plans the groups.
const recentCrashWindow = time.Second

// RecentlyCrashed lists the ids of instances whose crash this daemon detected within
// recentCrashWindow, in order.
func (det *Detector) RecentlyCrashed() (ids []string) {
	now := det.Now()
	det.mu.Lock()
	defer det.mu.Unlock()
	for incarnation, crash := range det.suspectedCrashes {
		if crash.confirmed && now.Sub(crash.at) < recentCrashWindow {
			ids = append(ids, incarnation.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}

// UpdatesSince calls Evidence.UpdatesSince with the current time.
func (det *Detector) UpdatesSince(seq uint64, clusterWide bool) (updates []Update, upTo uint64) {
	return det.Evidence.UpdatesSince(seq, clusterWide, det.Now())
}

// Seq calls Evidence.Seq.
func (det *Detector) Seq() (all, clusterWide uint64) { return det.Evidence.Seq() }

// Merge applies another daemon's updates and enforces the quarantines that follow from them.
func (det *Detector) Merge(updates []Update) {
	if len(updates) > 0 {
		det.enforce(det.Evidence.Merge(updates, det.Now()))
	}
}

// enforce logs verdicts and cancels the sends of requests that were just quarantined and have had no
// event yet.
func (det *Detector) enforce(v Verdicts) {
	for _, d := range v.Released {
		det.Log.Warn("request released from quarantine", append(det.Evidence.logFields(d), zap.String("decision", "one_ran_well"))...)
	}
	for _, d := range v.Superseded {
		det.Log.Warn("request released from quarantine", append(det.Evidence.logFields(d), zap.String("decision", "others_explain_its_crashes"))...)
	}
	for _, d := range v.Quarantined {
		det.Log.Warn("request quarantined", append(det.Evidence.logFields(d), zap.String("decision", "send_it_to_no_instance"),
			zap.String("digest", d.String()), zap.Object("evidence", det.Evidence.summary(d)))...)
	}
	if len(v.Quarantined) == 0 {
		return
	}
	for _, s := range det.sendsWithoutEvents() {
		if _, quarantined := det.Quarantined(s.request); quarantined {
			s.cancel()
		}
	}
}

// sendsWithoutEvents lists the sends that have had no event yet.
func (det *Detector) sendsWithoutEvents() (out []*Send) {
	det.mu.Lock()
	defer det.mu.Unlock()
	for s := range det.sends {
		s.mu.Lock()
		if s.firstEventAt.IsZero() {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// Prune removes expired records and crashes.
func (det *Detector) Prune() {
	now := det.Now()
	det.Evidence.Prune(now)
	det.mu.Lock()
	defer det.mu.Unlock()
	for incarnation, crash := range det.suspectedCrashes {
		if now.Sub(crash.at) > crashRetention {
			delete(det.suspectedCrashes, incarnation)
		}
	}
}
