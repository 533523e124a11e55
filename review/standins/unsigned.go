package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// plainEngine is an engine of the plain service. It runs each request for some 30 ms.
type plainEngine struct {
	site *site
	id   string
	// spoils reports whether this answer is spoiled: one byte in the name of the header with the
	// signature is wrong.
	spoils func() bool
}

func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["id"])
	h := w.Header()
	h.Set(names["id"], id)
	if want := r.Header.Get(names["expect"]); want != "" && want != e.id {
		h.Set(names["instance"], e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.site.noteRun(id, e.id)
	time.Sleep(time.Duration(15+rand.IntN(30)) * time.Millisecond)
	stamp := names["stamp"]
	if e.spoils() {
		stamp = stamp[:len(stamp)-1] + "q"
		e.site.note("spoiled  %s at %s", id, e.id)
	}
	h.Set(stamp, e.id+"."+id)
	_, _ = w.Write(bytes.Repeat([]byte("b"), 800)) // the daemon may have left
}

// Sizes of the case, as in the users' sheet: 14 requests a second, and the largest dose of spoiled answers.
const (
	onceEvery       = time.Second / 14
	spoiledShare    = 0.03
	plainEngines    = 5
	spoilingEngines = 3
	unsignedTime    = 70 * time.Second
)

// unsignedAnswers sends requests that must not be repeated while engines spoil a part of their answers,
// and counts those that ran more than once.
func unsignedAnswers(s *site) (int, error) {
	s.configure("config.json")
	var spoiled atomic.Int64
	for i := range plainEngines {
		e := &plainEngine{site: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i)}
		e.spoils = func() bool {
			hit := s.trouble && i < spoilingEngines && rand.Float64() < spoiledShare
			if hit {
				spoiled.Add(1)
			}
			return hit
		}
		if err := s.addEngine(e.id, zones[i%len(zones)], e); err != nil {
			return failed, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return failed, err
	}
	c := newClients(s)
	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	tick := time.NewTicker(onceEvery)
	defer tick.Stop()
	for begun, n := time.Now(), 0; time.Since(begun) < unsignedTime; n++ {
		<-tick.C
		d := s.daemons[n%len(s.daemons)]
		all.Go(func() {
			a := c.send(d, http.MethodPost, "/once/2f", time.Second, bytes.Repeat([]byte("q"), 600))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	all.Wait()
	served, twice := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if runs := s.runsOf(a.id); len(runs) > 1 {
			twice++
			s.note("BROKEN   TWICE: %s ran at %v", a.id, runs)
		}
	}
	summary := fmt.Sprintf("%d requests, %d answered with 200, %d answers spoiled, %d requests ran more than once", len(answers), served, spoiled.Load(), twice)
	s.note("%s", summary)
	fmt.Println(summary)
	switch {
	case twice > 0:
		return broken, nil
	case served < len(answers)*9/10 || s.trouble && spoiled.Load() == 0:
		return failed, fmt.Errorf("too little was served or spoiled")
	}
	return held, nil
}
