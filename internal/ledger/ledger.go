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

// Forwarder forwards records to the preferred daemon of a shard, which batches the records of
// all daemons. ok is false if this daemon is the preferred one itself.
type Forwarder interface {
	Forward(ctx context.Context, shard int, records []Record) (entries []Entry, ok bool, err error)
}

// DutyName returns the name of the duty of batching a shard's records.
func DutyName(shard int) string { return fmt.Sprintf("ledger/%d", shard) }

// Config is the configuration of a ledger.
type Config struct {
	Store     objectapi.Store
	Shards    int
	Options   Options
	Forwarder Forwarder // nil: always append here
	// AppendsPerSecond limits the rate of batches per shard.
	AppendsPerSecond float64
	Timeout          time.Duration // of one append, on this or the preferred daemon
	Now              func() time.Time
}

// Ledger appends records, and batches those that arrive while a write is in flight. Safe for
// concurrent use. Its goroutines stop when the context given to Run ends.
type Ledger struct {
	cfg    Config
	queues []chan *pending
}

// pending is one caller's records that wait to be appended.
type pending struct {
	ctx     context.Context
	records []Record
	done    chan appendResult
}

// size estimates the size of the stored records in bytes.
func (p *pending) size() int {
	const overhead = 256 // bytes per record besides its key and body
	n := 0
	for _, r := range p.records {
		n += overhead + len(r.Key) + len(r.Result.Body)*4/3
	}
	return n
}

// appendResult is the result of one caller's append.
type appendResult struct {
	entries []Entry
	err     error
}

// maxBatchBytes is the size at which no further record is added to a log object. Even if the
// last record has the maximum size, the batch stays below the platform's value limit.
const maxBatchBytes = 256 << 10

// queueLength is how many callers may wait for a shard; more are refused at once.
const queueLength = 1024

// New returns a ledger. Appends complete only while Run is running.
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
		wg.Go(func() { l.runShard(ctx, id) })
	}
	wg.Wait()
}

// runShard appends the queued records of a shard until ctx ends. Its goroutine alone accesses
// the shard's state.
func (l *Ledger) runShard(ctx context.Context, id int) {
	s := newShard(id, l.cfg.Store, l.cfg.Options, l.cfg.Now)
	limiter := rate.NewLimiter(rate.Limit(l.cfg.AppendsPerSecond), 2)
	for {
		var first *pending
		select {
		case first = <-l.queues[id]:
		case <-ctx.Done():
			return
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		l.appendBatch(ctx, s, l.collectBatch(id, first))
	}
}

// collectBatch dequeues all waiting records, up to maxBatchBytes.
func (l *Ledger) collectBatch(id int, first *pending) []*pending {
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

// appendBatch appends the records of the waiting callers in one write and sends each its result.
// It leaves out the records of callers whose context has ended and, if the shard is full, single
// claims of new keys.
func (l *Ledger) appendBatch(ctx context.Context, s *shard, waiting []*pending) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			failAll(waiting, err)
			return
		}
	}
	var records []Record
	var accepted []*pending
	for _, p := range waiting {
		if p.ctx.Err() != nil {
			p.done <- appendResult{err: errors.WithType(p.ctx.Err(), ErrUnavailable)}
			continue
		}
		if len(p.records) == 1 && s.isFull(p.records[0]) {
			p.done <- appendResult{err: ErrFull}
			continue
		}
		records = append(records, p.records...)
		accepted = append(accepted, p)
	}
	if len(records) == 0 {
		return
	}
	entries, err := s.append(ctx, records)
	if err != nil {
		s.loaded = false
		failAll(accepted, errors.WithType(err, ErrUnavailable))
		return
	}
	for _, p := range accepted {
		n := len(p.records)
		p.done <- appendResult{entries: entries[:n:n]}
		entries = entries[n:]
	}
	s.compact(ctx)
}

// failAll sends err to all waiting callers.
func failAll(waiting []*pending, err error) {
	for _, p := range waiting {
		p.done <- appendResult{err: err}
	}
}

// AppendLocal writes records of one shard from this daemon, without the Forwarder, and returns
// the entry of each record's key once they are durable. After an error the records may or may not
// be written, and the caller must not dispatch their attempts. The error is ErrFull if the shard is
// full, and ErrUnavailable if the platform can't be written or the queue is full.
func (l *Ledger) AppendLocal(ctx context.Context, id int, records []Record) ([]Entry, error) {
	if id < 0 || id >= len(l.queues) {
		return nil, errors.NotValidf("shard %d", id)
	}
	p := &pending{ctx: ctx, records: records, done: make(chan appendResult, 1)}
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

// append writes the record through the preferred daemon or, if that fails, from this daemon.
// Records are idempotent per attempt, so a forward whose reply was lost does no harm.
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
	entries, err := l.AppendLocal(ctx, id, records)
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

// Claim claims the key for an attempt. If granted is true, this attempt may be dispatched, and no
// other attempt of the key ever may, unless this one is recorded as not run. If granted is false,
// e is the key's existing entry. After an error the attempt must not be dispatched.
func (l *Ledger) Claim(ctx context.Context, r Record) (e Entry, granted bool, err error) {
	r.Kind = KindClaim
	e, err = l.append(ctx, r)
	if err != nil {
		return Entry{}, false, err
	}
	return e, e.Attempt == r.Attempt && e.Result.Status == StatusClaimed, nil
}

// Settle records the outcome of the attempt that holds the claim. After an error a retry with the
// same key is told that the request may have run.
func (l *Ledger) Settle(ctx context.Context, key, attempt string, result Result) error {
	_, err := l.append(ctx, Record{Kind: KindOutcome, Key: key, Attempt: attempt, Result: result})
	return err
}
