// Package platformfake is a small stand-in for the platform: the object API, the list of VMs,
// which may lag, and the rate-limited weight store. Faults are injected by SetFaults or over
// HTTP.
package platformfake

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pearlanding/internal/objectapi"
)

// Faults are the injectable faults. The zero value is a healthy platform.
type Faults struct {
	// Outage makes every call fail with ErrUnavailable.
	Outage bool `json:"outage"`
	// SlowMS delays each call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of next writes that are applied but whose answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is the age of the list that VMs returns.
	ListLagMS int `json:"list_lag_ms"`
}

// Store is the stand-in. It implements objectapi.Store itself, so that tests need no network.
// All methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]objectapi.Object
	changed  chan struct{} // closed and replaced by every write
	faults   Faults
	vms      []vmVersion // every list so far, oldest first
	writes   *rate.Limiter
	calls    map[string]int
	weights  *rate.Limiter
}

type vmVersion struct {
	at   time.Time
	list []objectapi.VM
}

// maxWatchWait is how long a watch waits before it returns without objects.
const maxWatchWait = 15 * time.Second

// New returns an empty platform. writesPerSecond limits writes (0: no limit),
// weightsGBPerSecond limits the weight store (0: no limit).
func New(writesPerSecond int, weightsGBPerSecond float64) *Store {
	s := &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
	if writesPerSecond > 0 {
		s.writes = rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond)
	}
	if weightsGBPerSecond > 0 {
		s.weights = rate.NewLimiter(rate.Limit(weightsGBPerSecond*mbPerGB), mbPerGB)
	}
	return s
}

// mbPerGB converts gigabytes to the megabytes that the weight store's limiter counts.
const mbPerGB = 1000

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(list []objectapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmVersion{at: time.Now(), list: append([]objectapi.VM(nil), list...)})
}

// SetVMState changes the state of one VM in the list; "" removes it.
func (s *Store) SetVMState(name string, state objectapi.VMState) {
	s.mu.Lock()
	var next []objectapi.VM
	for _, vm := range s.currentVMs() {
		if vm.Name == name {
			if state == "" {
				continue
			}
			vm.State = state
		}
		next = append(next, vm)
	}
	s.mu.Unlock()
	s.SetVMs(next)
}

// AddVM adds a VM to the list, or replaces the one with that name.
func (s *Store) AddVM(vm objectapi.VM) {
	s.mu.Lock()
	next := []objectapi.VM{vm}
	for _, old := range s.currentVMs() {
		if old.Name != vm.Name {
			next = append(next, old)
		}
	}
	sort.Slice(next, func(i, j int) bool { return next[i].Name < next[j].Name })
	s.mu.Unlock()
	s.SetVMs(next)
}

func (s *Store) currentVMs() []objectapi.VM {
	if len(s.vms) == 0 {
		return nil
	}
	return s.vms[len(s.vms)-1].list
}

// Calls returns the number of calls so far by kind.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// beginCall counts a call and applies Faults.SlowMS and Faults.Outage.
func (s *Store) beginCall(ctx context.Context, kind string) error {
	s.mu.Lock()
	s.calls[kind]++
	faults := s.faults
	s.mu.Unlock()
	if faults.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
		case <-ctx.Done():
			return objectapi.ErrUnavailable
		}
	}
	if faults.Outage {
		return objectapi.ErrUnavailable
	}
	return nil
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.beginCall(ctx, "get"); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return obj, nil
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	if err := s.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newerThan(prefix, 0), nil
}

func (s *Store) newerThan(prefix string, after uint64) []objectapi.Object {
	var out []objectapi.Object
	for key, obj := range s.objects {
		if strings.HasPrefix(key, prefix) && obj.Version > after {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Create implements objectapi.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.apply(ctx, "create", key, func(_ objectapi.Object, exists bool) bool { return !exists }, value)
}

// Update implements objectapi.Store.
func (s *Store) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	current := func(old objectapi.Object, exists bool) bool { return exists && old.Version == version }
	return s.apply(ctx, "update", key, current, value)
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	current := func(old objectapi.Object, exists bool) bool { return exists && old.Version == version }
	_, err := s.apply(ctx, "delete", key, current, nil)
	return err
}

// apply performs one conditional write; a nil value deletes the object.
func (s *Store) apply(ctx context.Context, kind, key string, allowed func(objectapi.Object, bool) bool, value []byte) (uint64, error) {
	if err := s.beginCall(ctx, kind); err != nil {
		return 0, err
	}
	if len(value) > objectapi.MaxValueBytes {
		return 0, objectapi.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writes != nil && !s.writes.Allow() {
		return 0, objectapi.ErrUnavailable
	}
	old, exists := s.objects[key]
	if !allowed(old, exists) {
		return 0, objectapi.ErrConflict
	}
	s.revision++
	if value == nil {
		delete(s.objects, key)
	} else {
		s.objects[key] = objectapi.Object{Key: key, Version: s.revision, Value: append([]byte(nil), value...)}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, objectapi.ErrUnknownOutcome
	}
	return s.revision, nil
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objectapi.Object, error) {
	if err := s.beginCall(ctx, "watch"); err != nil {
		return nil, err
	}
	deadline := time.After(maxWatchWait)
	for {
		s.mu.Lock()
		out, changed := s.newerThan(prefix, after), s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, nil
		case <-ctx.Done():
			return nil, objectapi.ErrUnavailable
		}
	}
}

// VMs implements objectapi.Store. The list is as old as Faults.ListLagMS.
func (s *Store) VMs(ctx context.Context, domain string) ([]objectapi.VM, error) {
	if err := s.beginCall(ctx, "vms"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(s.faults.ListLagMS) * time.Millisecond)
	var out []objectapi.VM
	for _, v := range s.vms {
		if v.at.After(asOf) {
			break
		}
		out = v.list
	}
	return slices.DeleteFunc(slices.Clone(out), func(vm objectapi.VM) bool { return domain != "" && vm.Domain != domain }), nil
}

// Weights waits until the weight store has delivered that many megabytes of weights.
func (s *Store) Weights(ctx context.Context, megabytes int) error {
	if err := s.beginCall(ctx, "weights"); err != nil {
		return err
	}
	if s.weights == nil {
		return nil
	}
	for megabytes > 0 {
		step := min(megabytes, mbPerGB)
		if err := s.weights.WaitN(ctx, step); err != nil {
			return objectapi.ErrUnavailable
		}
		megabytes -= step
	}
	return nil
}
