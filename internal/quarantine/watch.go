package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/pause"
)

// ErrRefused ends a send of a content that is refused.
const ErrRefused = errors.ConstError("quarantine: this request ended the instances that ran it")

// Parameters of what a daemon sees.
const (
	// ranFor is how long after its first event a request has run for long enough to be no
	// cause of an end: the shorter, the fewer harmless requests are refused after crashes.
	ranFor = 300 * time.Millisecond
	// endedFor is how long a life that ended is remembered for sends that break off late.
	endedFor = 10 * time.Second
	// probeTimeout bounds the look whether an instance's address is still served.
	probeTimeout = 300 * time.Millisecond
)

// probePauses are the pauses before the looks at an address: a process that ends may close
// its connections a moment before it stops to listen.
var probePauses = []time.Duration{2 * time.Millisecond, 40 * time.Millisecond}

// Watch is what one daemon sees of its own sends: under which an instance ended. An end is
// an address that refuses connections right after connections to it broke off. One that is
// cut off or without power answers nothing, and one that only breaks connections off or
// spoils answers takes new ones; neither is an end.
type Watch struct {
	Evidence *Evidence
	Probe    func(ctx context.Context, address string) error // opens a connection
	Now      func() time.Time
	Log      *zap.Logger

	ends  atomic.Uint64 // seen by this daemon
	mu    sync.Mutex
	sends map[*Send]struct{}
	lives map[Life]*broken
}

// NewWatch returns a watch that saw nothing.
func NewWatch(e *Evidence, probe func(ctx context.Context, address string) error, now func() time.Time, log *zap.Logger) *Watch {
	return &Watch{Evidence: e, Probe: probe, Now: now, Log: log, sends: map[*Send]struct{}{}, lives: map[Life]*broken{}}
}

// broken is a life at which sends broke off.
type broken struct {
	at       time.Time // the first
	suspects []Suspect
	ended    bool // the instance has ended
}

// Send is one request in progress at an instance.
type Send struct {
	watch     *Watch
	life      Life
	address   string
	workspace string
	digest    func() Digest // safe for concurrent use
	cancel    func()
	sent      time.Time
	mu        sync.Mutex
	began     time.Time // first event; zero: none yet
	ran       bool      // for ranFor
}

// Begin notes that a request is sent to an instance. cancel is called if the request is
// refused before it brings anything.
func (w *Watch) Begin(life Life, address, workspace string, digest func() Digest, cancel func()) *Send {
	s := &Send{watch: w, life: life, address: address, workspace: workspace, digest: digest, cancel: cancel, sent: w.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[s] = struct{}{}
	return s
}

// Event notes an event of a send. Once it has run for a while its content is no cause of an
// end: whatever ends instances ends each one that begins to run it.
func (s *Send) Event(now time.Time) {
	s.mu.Lock()
	if s.began.IsZero() {
		s.began = now
	}
	ran := !s.ran && now.Sub(s.began) >= ranFor
	s.ran = s.ran || ran
	s.mu.Unlock()
	if ran {
		s.watch.Good(s.digest)
	}
}

// Done ends a send.
func (s *Send) Done() {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	delete(s.watch.sends, s)
}

// Broke notes that the send's connection ended before a whole answer.
func (s *Send) Broke() {
	now := s.watch.Now()
	s.mu.Lock()
	ran := !s.began.IsZero() && now.Sub(s.began) >= ranFor
	s.mu.Unlock()
	if !ran {
		s.watch.broke(s, Suspect{s.digest(), s.workspace, s.sent}, now)
	}
}

// Good notes that a content ended well, where that tells something.
func (w *Watch) Good(digest func() Digest) {
	if w.Evidence.Empty() {
		return
	}
	d := digest()
	if w.Evidence.Good(d, w.Now()) {
		w.Log.Warn("request not refused any more", zap.String("decision", "it ended well"), zap.String("content", d.Short()))
	}
}

// Refuses tells whether a request may not be sent.
func (w *Watch) Refuses(digest func() Digest) bool {
	return !w.Evidence.Empty() && w.Evidence.Refuses(digest())
}

// broke takes in a suspect of a life that may have ended.
func (w *Watch) broke(s *Send, suspect Suspect, now time.Time) {
	w.mu.Lock()
	b := w.lives[s.life]
	first := b == nil
	if first {
		b = &broken{at: now}
		w.lives[s.life] = b
	}
	if !b.ended {
		b.suspects = append(b.suspects, suspect)
	}
	ended, at := b.ended, b.at
	w.mu.Unlock()
	switch {
	case ended:
		w.enforce(w.Evidence.Ended(s.life, at, []Suspect{suspect}))
	case first:
		go w.verify(s.life, s.address)
	}
}

// verify looks whether an instance ended, and if so marks what was in progress there.
func (w *Watch) verify(life Life, address string) {
	ended := w.closed(address)
	w.mu.Lock()
	b := w.lives[life]
	if b == nil || !ended {
		delete(w.lives, life)
		w.mu.Unlock()
		return
	}
	b.ended = true
	w.ends.Add(1)
	at, suspects := b.at, b.suspects
	b.suspects = nil
	w.mu.Unlock()
	w.Log.Info("instance ended under requests", zap.String("instance", life.Instance), zap.Int64("born", life.Born),
		zap.Int("suspects", len(suspects)), zap.Strings("contents", shorts(suspects)))
	w.enforce(w.Evidence.Ended(life, at, suspects))
}

// shortsMost bounds the contents named in a line.
const shortsMost = 32

func shorts(suspects []Suspect) (out []string) {
	for _, s := range suspects[:min(len(suspects), shortsMost)] {
		out = append(out, s.Digest.Short())
	}
	return out
}

// closed tells whether an address refuses connections.
func (w *Watch) closed(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for _, p := range probePauses {
		pause.For(ctx, p)
		err := w.Probe(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			return false // it answers nothing: cut off, or without power
		}
	}
	return false
}

// Ends is how many instances this daemon saw end under requests.
func (w *Watch) Ends() uint64 { return w.ends.Load() }

// reportFor is how long an end counts as news for the daemon that plans.
const reportFor = time.Second

// EndedLately lists the instances that this daemon saw end a moment ago, in order.
func (w *Watch) EndedLately() (ids []string) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for life, b := range w.lives {
		if b.ended && now.Sub(b.at) < reportFor {
			ids = append(ids, life.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}

// Since is Evidence.Since as of now.
func (w *Watch) Since(seq uint64, hot bool) (words []Word, upTo uint64) {
	return w.Evidence.Since(seq, hot, w.Now())
}

// Seq is Evidence.Seq.
func (w *Watch) Seq() (all, hot uint64) { return w.Evidence.Seq() }

// Merge takes in another daemon's words.
func (w *Watch) Merge(words []Word) {
	if len(words) > 0 {
		w.enforce(w.Evidence.Merge(words, w.Now()))
	}
}

// enforce logs what is refused from now on, and calls back what was sent of it.
func (w *Watch) enforce(digests []Digest) {
	for _, d := range digests {
		w.Log.Warn("request refused from now on", zap.String("decision", "send_it_to_no_instance"), zap.String("content", d.Short()),
			zap.String("digest", d.String()), zap.Object("evidence", w.Evidence.view(d)))
	}
	if len(digests) == 0 {
		return
	}
	for _, s := range w.unbegun() {
		if slices.Contains(digests, s.digest()) {
			s.cancel()
		}
	}
}

// unbegun lists the sends that brought nothing yet.
func (w *Watch) unbegun() (out []*Send) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.sends {
		s.mu.Lock()
		if s.began.IsZero() {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// Sweep forgets what is past its time.
func (w *Watch) Sweep() {
	now := w.Now()
	w.Evidence.Forget(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for life, b := range w.lives {
		if now.Sub(b.at) > endedFor {
			delete(w.lives, life)
		}
	}
}
