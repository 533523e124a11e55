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

// maxRequestBytes is how much of a request the stand-in reads.
const maxRequestBytes = 8 << 20

// prefillTokens is the extra delay of the first token, in token times, if the prefix is not
// cached.
const prefillTokens = 4

// Handler returns the handler of the engine's protocols and the /fake endpoints.
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

// generateRequest holds the fields of a model request that the stand-in reads.
type generateRequest struct {
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

func (g *generateRequest) prompt() string {
	parts := []string{g.Prompt}
	for _, m := range g.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// defaultMaxTokens is the answer's length for a request without max_tokens.
const defaultMaxTokens = 16

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g generateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&g); err != nil {
		w.Header().Set(engine.HeaderNotRun, "true")
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultMaxTokens
	}
	g.chat = strings.HasSuffix(r.URL.Path, "chat/completions")
	g.id = r.Header.Get(engine.HeaderRequestID)
	g.from, _ = strconv.Atoi(r.Header.Get(engine.HeaderResume))
	epoch, _ := strconv.ParseUint(r.Header.Get(engine.HeaderEpoch), 10, 64)
	assignment, ok := e.leads(r.Header.Get(engine.HeaderGroup), epoch)
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

// run records an admitted request and generates its answer. It aborts the connection if the
// group is only partly assembled or the answer is cut.
func (e *Engine) run(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, g *generateRequest, a *engine.Assignment, key string) {
	e.mu.Lock()
	e.cancels[g.id] = cancel
	e.served = append(e.served, Served{RequestID: g.id, Key: key, Group: a.Group, Epoch: a.Epoch, At: time.Now()})
	index := len(e.served) - 1
	faults := e.faults
	e.faults.CrossNext, e.faults.CrossBody, e.faults.CutAfterTokens = false, false, 0
	cached := e.cache.touch(xxhash.Sum64String(prefixOf(g.prompt())))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.cancels, g.id)
		e.mu.Unlock()
	}()
	if !e.membersReadyAt(ctx, a) {
		e.mu.Lock()
		e.served[index].Partial = true
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
	if !e.writeAnswer(ctx, w, g, a, faults, step) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.served[index].Complete = true
	e.mu.Unlock()
}

// memberCheckTokens is the number of tokens between checks of the other members.
const memberCheckTokens = 8

// writeAnswer writes the tokens. It returns false if the answer is to be cut.
func (e *Engine) writeAnswer(ctx context.Context, w http.ResponseWriter, g *generateRequest, a *engine.Assignment, faults Faults, step time.Duration) bool {
	text := ""
	flusher, _ := w.(http.Flusher)
	if g.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := g.from; i < g.MaxTokens; i++ {
		if !pause(ctx, step) || (faults.CutAfterTokens > 0 && i-g.from >= faults.CutAfterTokens) {
			return false
		}
		if i%memberCheckTokens == memberCheckTokens-1 && !e.membersReadyAt(ctx, a) {
			return false
		}
		token := Token(g.prompt(), i)
		if !g.Stream {
			text += token
			continue
		}
		fmt.Fprintf(w, "data: %s\n\n", streamChunk(g, token, ""))
		flusher.Flush()
	}
	if g.Stream {
		fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", streamChunk(g, "", "length"))
		return true
	}
	body := completeAnswer(g, text)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	return err == nil
}

// pause waits for d and reports whether it passed before ctx ended.
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

// prefixOf returns the part of a prompt that the prefix cache uses as its key.
func prefixOf(prompt string) string {
	const prefixBytes = 64
	return prompt[:min(len(prompt), prefixBytes)]
}

// membersReadyAt asks every other member whether it is ready at the same epoch. It stands for
// the collective operations of a real group, which fail without a member.
func (e *Engine) membersReadyAt(ctx context.Context, a *engine.Assignment) bool {
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
