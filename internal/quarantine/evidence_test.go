package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

var start = time.Unix(1e6, 0)

// at is a moment of a test, in seconds.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func lifeOf(n int) Life { return Life{fmt.Sprint("i-", n), int64(n)} }

// under makes suspects that were sent a moment before an end.
func under(end time.Time, contents ...Digest) (out []Suspect) {
	for _, d := range contents {
		out = append(out, Suspect{d, "w", end.Add(-100 * time.Millisecond)})
	}
	return out
}

var poison, bystander = digestOf("poison", 0), digestOf("bystander", 0)

func TestThirdEndRefuses(t *testing.T) {
	e := NewEvidence()
	must.True(t, e.Empty())
	for i := range 3 {
		must.False(t, e.Refuses(poison))
		e.Ended(lifeOf(i), at(float64(i)), under(at(float64(i)), poison, digestOf("other", i)))
	}
	must.Eq(t, []Digest{poison}, e.Refused())
}

// A domain of instances that crashes at one moment is one mark.
func TestEndsAtOneMomentCountOnce(t *testing.T) {
	e := NewEvidence()
	for i := range 9 {
		e.Ended(lifeOf(i), at(0.01*float64(i)), under(at(0), poison))
	}
	must.SliceEmpty(t, e.Refused())
	// A repeat that left after the last end counts, however soon.
	e.Ended(lifeOf(9), at(0.12), []Suspect{{poison, "w", at(0.1)}})
	e.Ended(lifeOf(10), at(0.14), []Suspect{{poison, "w", at(0.13)}})
	must.Eq(t, []Digest{poison}, e.Refused())
}

func TestGoodEndClearsWhatCameBefore(t *testing.T) {
	e := NewEvidence()
	e.Ended(lifeOf(0), at(0), under(at(0), poison))
	e.Ended(lifeOf(1), at(1), under(at(1), poison))
	e.Good(poison, at(2))
	e.Ended(lifeOf(2), at(3), under(at(3), poison))
	e.Ended(lifeOf(3), at(4), under(at(4), poison))
	must.SliceEmpty(t, e.Refused())
	e.Ended(lifeOf(4), at(5), under(at(5), poison))
	must.Eq(t, []Digest{poison}, e.Refused())
	must.True(t, e.Good(poison, at(6)))
	must.SliceEmpty(t, e.Refused())
}

// Two that were in progress at the same three ends are told apart by the fourth. Whatever a
// refused request explains is no mark on others, whenever it is heard of.
func TestBystanderIsToldApart(t *testing.T) {
	e := NewEvidence()
	for i := range 3 {
		e.Ended(lifeOf(i), at(float64(i)), under(at(float64(i)), poison, bystander))
	}
	must.SliceEmpty(t, e.Refused())
	e.Ended(lifeOf(3), at(3), under(at(3), poison))
	must.Eq(t, []Digest{poison}, e.Refused())
	e.Ended(lifeOf(4), at(4), under(at(4), poison, bystander))
	must.Eq(t, []Digest{poison}, e.Refused())
	late := NewEvidence()
	words, _ := e.Since(0, false, at(5))
	late.Merge(words, at(5))
	must.Eq(t, []Digest{poison}, late.Refused())
}

// What is released is not refused again by ends of before, whoever still tells them, but by
// three new ones.
func TestReleasedIsRefusedAgainByNewEndsOnly(t *testing.T) {
	e, stale := NewEvidence(), NewEvidence()
	for i := range 3 {
		e.Ended(lifeOf(i), at(float64(i)), under(at(float64(i)), poison))
	}
	words, _ := e.Since(0, false, at(3))
	stale.Merge(words, at(3))
	stored := e.Store(at(3))
	must.True(t, stored.Release(poison, at(4)))
	must.False(t, stored.Release(poison, at(4)))
	must.False(t, stored.Release(bystander, at(4)))
	e.Load(stored, at(4))
	must.SliceEmpty(t, e.Refused())
	words, _ = stale.Since(0, false, at(5))
	e.Merge(words, at(5))
	must.SliceEmpty(t, e.Refused())
	words, _ = e.Since(0, false, at(6))
	stale.Merge(words, at(6))
	must.SliceEmpty(t, stale.Refused())
	for i := range 3 {
		must.SliceEmpty(t, e.Refused())
		e.Ended(lifeOf(10+i), at(float64(10+i)), under(at(float64(10+i)), poison))
	}
	must.Eq(t, []Digest{poison}, e.Refused())
}

// What the store holds outlasts all processes: a refusal, and two ends of three.
func TestStoredOutlastsAllProcesses(t *testing.T) {
	e := NewEvidence()
	twice := digestOf("twice", 0)
	for i := range 3 {
		e.Ended(lifeOf(i), at(float64(i)), under(at(float64(i)), poison))
	}
	for i := range 2 {
		e.Ended(lifeOf(5+i), at(float64(5+i)), under(at(float64(5+i)), twice))
	}
	e.Ended(lifeOf(9), at(9), under(at(9), bystander))
	must.True(t, e.Unsaved())
	s := e.Store(at(10))
	must.Len(t, 2, s.Contents)
	value, err := json.Marshal(s)
	must.NoError(t, err)
	e.Saved(s, at(10))
	must.False(t, e.Unsaved())
	read, err := ReadStored(value)
	must.NoError(t, err)
	next := NewEvidence()
	next.Load(read, at(60))
	must.False(t, next.Unsaved())
	must.Eq(t, []Digest{poison}, next.Refused())
	next.Ended(lifeOf(20), at(61), under(at(61), twice))
	must.True(t, next.Refuses(twice))
	must.True(t, next.Unsaved())
	_, err = ReadStored([]byte(`{"contents": 7}`))
	must.Error(t, err)
}

// One workspace's many contents push out nobody else's.
func TestBoundsAreFairBetweenWorkspaces(t *testing.T) {
	e := NewEvidence()
	small := digestOf("small", 0)
	e.Ended(lifeOf(0), at(0), []Suspect{{small, "small", at(0)}})
	for i := range marksMost + 500 {
		e.Ended(lifeOf(0), at(1), []Suspect{{digestOf("many", i), "large", at(0)}})
	}
	e.Forget(at(2))
	marked, refused := e.Counts()
	must.Eq(t, marksMost, marked)
	must.Zero(t, refused)
	e.Ended(lifeOf(1), at(3), []Suspect{{small, "small", at(2)}})
	e.Ended(lifeOf(2), at(4), []Suspect{{small, "small", at(4)}})
	must.True(t, e.Refuses(small))
	e.Forget(at(4).Add(forgetAfter + time.Second))
	marked, refused = e.Counts()
	must.Zero(t, marked)
	must.Eq(t, 1, refused) // a refusal waits for its release
	must.False(t, e.Empty())
}

// Copies of a refused content that were in progress at many instances: more ends than are
// kept, which two daemons know in part. They stop to tell one another, and what the store holds
// changes nothing.
func TestManyEndsAreToldOnce(t *testing.T) {
	a, b := NewEvidence(), NewEvidence()
	for i := range 3 * keptEnds {
		when := at(float64(i))
		if i > 2 {
			when = at(10 + float64(i)/10000)
		}
		[]*Evidence{a, b}[i%2].Ended(lifeOf(i), when, under(when, poison))
	}
	var seenA, seenB uint64
	for round := range 5 {
		now := at(1000 + float64(round)/3)
		toB, upToB := a.Since(seenA, false, now)
		toA, upToA := b.Since(seenB, false, now.Add(3*time.Millisecond))
		seenA, seenB = upToB, upToA
		a.Merge(toA, now.Add(5*time.Millisecond))
		b.Merge(toB, now.Add(7*time.Millisecond))
	}
	words, _ := a.Since(seenA, false, at(1002))
	must.SliceEmpty(t, words)
	words, _ = b.Since(seenB, false, at(1002))
	must.SliceEmpty(t, words)
	seq, _ := a.Seq()
	a.Load(b.Store(at(1002)), at(1003))
	after, _ := a.Seq()
	must.Eq(t, seq, after)
	must.True(t, a.Refuses(poison))
}

// Whatever daemons tell one another in whatever order, once all know all they refuse the
// same, and have nothing more to tell.
func TestDaemonsAgreeOnceTheyToldAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all [3]*Evidence
		for i := range all {
			all[i] = NewEvidence()
		}
		seen := map[[2]int]uint64{}
		now := at(0)
		tell := func(from, to int) bool {
			words, upTo := all[from].Since(seen[[2]int{from, to}], false, now)
			seen[[2]int{from, to}] = upTo
			all[to].Merge(words, now)
			return len(words) > 0
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			e := all[rng.IntN(3)]
			d := digestOf("c", rng.IntN(4))
			switch rng.IntN(8) {
			case 0:
				e.Good(d, now)
			case 1, 2:
				tell(rng.IntN(3), rng.IntN(3))
			default:
				e.Ended(lifeOf(i), now, under(now, d, digestOf("c", rng.IntN(4))))
			}
		}
		for range 20 {
			news := false
			for i := range 9 {
				news = tell(i/3, i%3) && i/3 != i%3 || news
			}
			if !news {
				must.Eq(t, all[0].Refused(), all[1].Refused())
				must.Eq(t, all[0].Refused(), all[2].Refused())
				return
			}
		}
		t.Fatal("daemons go on telling")
	})
}
