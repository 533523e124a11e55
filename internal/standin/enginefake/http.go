package enginefake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearlanding/internal/engine"
)

// maxRequestBytes bounds a request to the stand-in.
const maxRequestBytes = 8 << 20

// prefillTime is what the first token costs on top when the prefix is not cached.
const prefillTokens = 4

// Handler serves the engine's protocols and /fake endpoints.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Status()) })
	mux.HandleFunc("POST "+engine.PathOrder, e.serveOrder)
	mux.HandleFunc("POST "+engine.PathCancel, func(_ http.ResponseWriter, r *http.Request) { e.cancel(r.URL.Query().Get("request_id")) })
	mux.HandleFunc("GET "+engine.PathEvents, e.serveEvents)
	mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	mux.HandleFunc("POST /v1/completions", e.serveGenerate)
	mux.HandleFunc("PUT /fake/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, "want faults as JSON", http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("POST /fake/restart", func(w http.ResponseWriter, _ *http.Request) { e.Restart(); writeJSON(w, http.StatusOK, e.Status()) })
	mux.HandleFunc("GET /fake/served", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Served()) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "want an order as JSON", http.StatusBadRequest)
		return
	}
	if !e.Order(o) {
		writeJSON(w, http.StatusConflict, map[string]string{"error": "fence is older than one seen"})
		return
	}
	writeJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	out := []engine.CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after {
			out = append(out, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// generation is one request as the stand-in reads it.
type generation struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	id   string
	from int
	chat bool
}

func (g *generation) prompt() string {
	parts := []string{g.Prompt}
	for _, m := range g.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// defaultTokens is what a request without max_tokens gets.
const defaultTokens = 16

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g generation
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&g); err != nil {
		w.Header().Set(engine.HeaderNotRun, "true")
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultTokens
	}
	g.chat = strings.HasSuffix(r.URL.Path, "chat/completions")
	g.id = r.Header.Get(engine.HeaderRequestID)
	g.from, _ = strconv.Atoi(r.Header.Get(engine.HeaderResume))
	epoch, _ := strconv.ParseUint(r.Header.Get(engine.HeaderEpoch), 10, 64)
	assignment, ok := e.admit(r.Header.Get(engine.HeaderGroup), epoch)
	if !ok {
		w.Header().Set(engine.HeaderNotRun, "true")
		writeJSON(w, http.StatusConflict, map[string]string{"error": "not rank 0 of that epoch"})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if e.acquire(ctx, priority) != nil {
		return
	}
	defer e.release()
	e.run(ctx, cancel, w, &g, assignment, r.Header.Get("Idempotency-Key"))
}

// run generates the answer of one admitted request.
func (e *Engine) run(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, g *generation, a *engine.Assignment, key string) {
	e.mu.Lock()
	e.cancels[g.id] = cancel
	e.served = append(e.served, Served{RequestID: g.id, Key: key, Group: a.Group, Epoch: a.Epoch, At: time.Now()})
	record := len(e.served) - 1
	faults := e.faults
	e.faults.CrossNext, e.faults.CrossBody, e.faults.CutAfterTokens = false, false, 0
	cached := e.cache.touch(xxhash.Sum64String(prefixOf(g.prompt())))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.cancels, g.id)
		e.mu.Unlock()
	}()
	if !e.membersAt(ctx, a) {
		e.mu.Lock()
		e.served[record].Partial = true
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	id := g.id
	if faults.CrossNext {
		id = "crossed-" + id
	}
	if faults.CrossNext || faults.CrossBody {
		g.id = "crossed-" + g.id
	}
	w.Header().Set(engine.HeaderRequestID, id)
	step := e.opts.TokenTime + time.Duration(faults.SlowMS)*time.Millisecond
	if !cached && !pause(ctx, prefillTokens*step) {
		panic(http.ErrAbortHandler)
	}
	if !e.emit(ctx, w, g, a, faults, step) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.served[record].Whole = true
	e.mu.Unlock()
}

// memberCheckEvery is how many tokens pass between looks at the other members.
const memberCheckEvery = 8

// emit writes the tokens; false means the answer was cut.
func (e *Engine) emit(ctx context.Context, w http.ResponseWriter, g *generation, a *engine.Assignment, faults Faults, step time.Duration) bool {
	text := ""
	flusher, _ := w.(http.Flusher)
	if g.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := g.from; i < g.MaxTokens; i++ {
		if !pause(ctx, step) || (faults.CutAfterTokens > 0 && i-g.from >= faults.CutAfterTokens) {
			return false
		}
		if i%memberCheckEvery == memberCheckEvery-1 && !e.membersAt(ctx, a) {
			return false
		}
		token := Token(g.prompt(), i)
		if !g.Stream {
			text += token
			continue
		}
		fmt.Fprintf(w, "data: %s\n\n", chunk(g, token, ""))
		flusher.Flush()
	}
	if g.Stream {
		fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", chunk(g, "", "length"))
		return true
	}
	body := whole(g, text)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	return err == nil
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// prefixOf is the part of a prompt the prefix cache looks at.
func prefixOf(prompt string) string {
	const prefixBytes = 64
	return prompt[:min(len(prompt), prefixBytes)]
}

// membersAt asks every other member whether it stands ready at the same epoch,
// as the collective of a real group would notice.
func (e *Engine) membersAt(ctx context.Context, a *engine.Assignment) bool {
	for rank, address := range a.Members {
		if rank == a.Rank {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathStatus, nil)
		if err != nil {
			return false
		}
		resp, err := e.http.Do(req)
		if err != nil {
			return false
		}
		var s engine.Status
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err != nil || s.State != engine.StateReady || s.Assignment == nil ||
			s.Assignment.Group != a.Group || s.Assignment.Epoch != a.Epoch {
			return false
		}
	}
	return true
}
