package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// deadlyText is in the body of the request that crashes engines.
const deadlyText = "this text crashes engines"

// Sizes of the case.
const (
	streamEngines = 6
	streamEvents  = 35 // as the sheet's resumo-pratico
	eventInterval = 40 * time.Millisecond
	crashAfter    = 500 * time.Millisecond // from the first event on
	restartAfter  = 3 * time.Second
	deadlyEvery   = time.Second
	soundEvery    = 100 * time.Millisecond
	deadlyTime    = 60 * time.Second
	contact       = 3 * time.Second // contact-ms
	crashesKnown  = 3               // crashes after which the rule allows allowedRetries
	allowedRetry  = 3
)

// streamEngine is an engine that answers with a stream of events.
type streamEngine struct {
	site   *site
	id     string
	crash  time.Duration
	onRun  func(id string, deadly bool)
	onDown func()

	mu      sync.Mutex
	server  *http.Server
	address string
}

// start listens and writes the engine's entry.
func (e *streamEngine) start(address, zone string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.server, e.address = server, l.Addr().String()
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.site.store.Put("servers/"+e.id, json.RawMessage(text("entry.json", "@service", "app", "@address", l.Addr().String(),
		"@zone", zone, "@born", fmt.Sprint(time.Now().UnixMilli()))))
	return nil
}

// goDown ends the engine as a crash does; it is back under its id after restartAfter.
func (e *streamEngine) goDown(zone string) {
	e.mu.Lock()
	server, address := e.server, e.address
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return // already down
	}
	e.onDown()
	e.site.note("crash    of %s", e.id)
	_ = server.Close()
	time.AfterFunc(restartAfter, func() {
		if err := e.start(address, zone); err != nil {
			e.site.note("%s is not back: %v", e.id, err)
			return
		}
		e.site.note("%s is back", e.id)
	})
}

func (e *streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["id"])
	h := w.Header()
	h.Set(names["id"], id)
	if want := r.Header.Get(names["expect"]); want != "" && want != e.id {
		h.Set(names["instance"], e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadly := bytes.Contains(body, []byte(deadlyText))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none
	h.Set("Content-Type", "text/event-stream")
	h.Set(names["stamp"], e.id+"."+id)
	time.Sleep(eventInterval)
	e.site.noteRun(id, e.id)
	e.onRun(id, deadly)
	if deadly && e.site.trouble {
		time.AfterFunc(e.crash, func() { e.goDown(zones[0]) })
	}
	for i := from + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventInterval)
	}
}

// deadlyRequest sends sound streams, and one request again and again that crashes each engine that runs it,
// half a second after its first event. It counts how many of its retries reach engines.
func deadlyRequest(s *site) (int, error) {
	after := crashAfter
	if ms, err := strconv.Atoi(os.Getenv("CRASH_AFTER_MS")); err == nil {
		after = time.Duration(ms) * time.Millisecond
	}
	s.configure("config.json")
	var mu sync.Mutex
	var crashes []time.Time
	reached := map[string]time.Time{} // deadly requests by id, when they first began to run
	for i := range streamEngines {
		e := &streamEngine{site: s, id: fmt.Sprintf("i-%08x", 0x5a91c200+i), crash: after}
		e.onRun = func(id string, deadly bool) {
			mu.Lock()
			defer mu.Unlock()
			if _, known := reached[id]; deadly && !known {
				reached[id] = time.Now()
			}
		}
		e.onDown = func() {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
		}
		if err := e.start("127.0.0.1:0", zones[0]); err != nil {
			return failed, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return failed, err
	}
	c := newClients(s)
	var all sync.WaitGroup
	sent, served := 0, 0
	end := time.Now().Add(deadlyTime)
	send := func(every time.Duration, path, body string, done func(answer)) {
		all.Go(func() {
			var requests sync.WaitGroup
			for n := 0; time.Now().Before(end); n++ {
				d := s.daemons[n%len(s.daemons)]
				requests.Go(func() { done(c.send(d, http.MethodPost, path, 6*time.Second, []byte(body))) })
				time.Sleep(every)
			}
			requests.Wait()
		})
	}
	send(deadlyEvery, "/stream/d", deadlyText, func(answer) {})
	send(soundEvery, "/stream/s", "a sound prompt", func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == http.StatusOK {
			served++
		}
	})
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= crashesKnown {
		for id, at := range reached {
			if at.After(crashes[crashesKnown-1].Add(contact)) {
				late++
				s.note("late     %s began to run %.1f s after the third crash", id, at.Sub(crashes[crashesKnown-1]).Seconds())
			}
		}
	}
	summary := fmt.Sprintf("%d crashes; %d retries reached engines later than contact-ms after the third; %d of %d sound streams served", len(crashes), late, served, sent)
	s.note("%s", summary)
	fmt.Println(summary)
	switch {
	case late > allowedRetry:
		s.note("BROKEN   BUDGET: %d retries", late)
		return broken, nil
	case s.trouble && len(crashes) < crashesKnown:
		return failed, errors.New("the request crashed too few engines")
	case !s.trouble && served < sent*9/10:
		return failed, errors.New("too little was served")
	}
	return held, nil
}
