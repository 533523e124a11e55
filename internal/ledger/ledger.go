package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"pearlanding/internal/objectapi"
)

// Forwarder hands records to the preferred daemon of a shard, which batches for
// all. ok is false when this daemon is the preferred one itself.
type Forwarder interface {
	Forward(ctx context.Context, shard int, records []Record) (entries []Entry, ok bool, err error)
}

// Duty names the duty of batching a shard's records.
func Duty(shard int) string { return fmt.Sprintf("ledger/%d", shard) }

// Config is what a ledger runs with.
type Config struct {
	Store     objectapi.Store
	Shards    int
	Options   Options
	Forwarder Forwarder // nil: always append here
	// AppendsPerSecond bounds the batches of one shard.
	AppendsPerSecond float64
	Timeout          time.Duration // of one append
	Now              func() time.Time
}

// Ledger appends records, batching what arrives while a write is in flight.
// Safe for concurrent use. Its goroutines end with the context given to Run.
type Ledger struct {
	cfg    Config
	queues []chan *pending
}

// pending is one caller's records waiting to be appended.
type pending struct {
	ctx     context.Context
	records []Record
	done    chan appended
}

// size estimates the stored bytes of the records.
func (p *pending) size() int {
	const fixed = 256
	n := 0
	for _, r := range p.records {
		n += fixed + len(r.Key) + len(r.Result.Body)*4/3
	}
	return n
}

type appended struct {
	entries []Entry
	err     error
}

// maxBatchBytes bounds the records of one log object, below the platform's limit
// for a value even with one largest record on top.
const maxBatchBytes = 256 << 10

// queueLength is how many callers may wait on a shard; more are refused at once.
const queueLength = 1024

// New returns a ledger; Run must be running for appends to make progress.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, queues: make([]chan *pending, cfg.Shards)}
	for i := range l.queues {
		l.queues[i] = make(chan *pending, queueLength)
	}
	return l
}

// Run serves all shards until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for id := range l.queues {
		wg.Go(func() { l.serve(ctx, id) })
	}
	wg.Wait()
}

// serve is the one goroutine that owns a shard's view.
func (l *Ledger) serve(ctx context.Context, id int) {
	s := newShard(id, l.cfg.Store, l.cfg.Options, l.cfg.Now)
	pace := rate.NewLimiter(rate.Limit(l.cfg.AppendsPerSecond), 2)
	for {
		var first *pending
		select {
		case first = <-l.queues[id]:
		case <-ctx.Done():
			return
		}
		if pace.Wait(ctx) != nil {
			return
		}
		l.appendBatch(ctx, s, l.collect(id, first))
	}
}

// collect takes everything that waits, up to a batch.
func (l *Ledger) collect(id int, first *pending) []*pending {
	batch := []*pending{first}
	n := first.size()
	for n < maxBatchBytes {
		select {
		case p := <-l.queues[id]:
			batch = append(batch, p)
			n += p.size()
		default:
			return batch
		}
	}
	return batch
}

func (l *Ledger) appendBatch(ctx context.Context, s *shard, waiting []*pending) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			answer(waiting, err)
			return
		}
	}
	var records []Record
	var taken []*pending
	for _, p := range waiting {
		if p.ctx.Err() != nil {
			p.done <- appended{err: errors.WithType(p.ctx.Err(), ErrUnavailable)}
			continue
		}
		if len(p.records) == 1 && s.full(p.records[0]) {
			p.done <- appended{err: ErrFull}
			continue
		}
		records = append(records, p.records...)
		taken = append(taken, p)
	}
	if len(records) == 0 {
		return
	}
	entries, err := s.append(ctx, records)
	if err != nil {
		s.loaded = false
		answer(taken, errors.WithType(err, ErrUnavailable))
		return
	}
	for _, p := range taken {
		n := len(p.records)
		p.done <- appended{entries: entries[:n:n]}
		entries = entries[n:]
	}
	s.compact(ctx)
}

func answer(waiting []*pending, err error) {
	for _, p := range waiting {
		p.done <- appended{err: err}
	}
}

// AppendHere makes records of one shard durable through this daemon's own view
// and returns the entry of each key. On an error none may be acted on.
func (l *Ledger) AppendHere(ctx context.Context, id int, records []Record) ([]Entry, error) {
	if id < 0 || id >= len(l.queues) {
		return nil, errors.NotValidf("shard %d", id)
	}
	p := &pending{ctx: ctx, records: records, done: make(chan appended, 1)}
	select {
	case l.queues[id] <- p:
	default:
		return nil, errors.Annotate(ErrUnavailable, "shard queue is full")
	}
	select {
	case a := <-p.done:
		return a.entries, a.err
	case <-ctx.Done():
		return nil, errors.WithType(ctx.Err(), ErrUnavailable)
	}
}

// append goes through the preferred daemon and, if that fails, through this one.
// Records are idempotent by attempt, so a forward whose answer was lost does no
// harm.
func (l *Ledger) append(ctx context.Context, r Record) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	id := ShardOf(r.Key, l.cfg.Shards)
	records := []Record{r}
	if l.cfg.Forwarder != nil {
		entries, ok, err := l.cfg.Forwarder.Forward(ctx, id, records)
		if ok && err == nil && len(entries) == 1 {
			return entries[0], nil
		}
		if errors.Is(err, ErrFull) {
			return Entry{}, ErrFull
		}
	}
	entries, err := l.AppendHere(ctx, id, records)
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

// Claim asks for the key. granted says that this attempt, and no other ever
// before or after unless this one is recorded as not run, may be dispatched. If
// not granted, the entry is the one that stands. After an error the attempt must
// not be dispatched.
func (l *Ledger) Claim(ctx context.Context, r Record) (e Entry, granted bool, err error) {
	r.Kind = KindClaim
	e, err = l.append(ctx, r)
	if err != nil {
		return Entry{}, false, err
	}
	return e, e.Attempt == r.Attempt && e.Result.Status == StatusClaimed, nil
}

// Settle records the outcome of the attempt that holds the claim. An error means
// that a repeat of the key will hear "may have run".
func (l *Ledger) Settle(ctx context.Context, key, attempt string, result Result) error {
	_, err := l.append(ctx, Record{Kind: KindOutcome, Key: key, Attempt: attempt, Result: result})
	return err
}
