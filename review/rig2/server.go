package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions describe a server of a service, or a model engine if Domain is set.
type serverOptions struct {
	ID, Service, Zone, Domain, Store string
	WorkMS                           int // of a plain request
	Events, EventMS, FirstMS         int // of a stream
}

// modelServer is the state of a server's process.
type modelServer struct {
	o    serverOptions
	born int64

	mu      sync.Mutex
	address string
	seq     int
	group   membership
	model   string
	staged  string
	epoch   uint64
	streams map[*stream]struct{}
}

type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// runServer serves until the process is killed or told to crash.
func runServer(args []string) {
	s := &modelServer{born: time.Now().UnixMilli(), streams: map[*stream]struct{}{}}
	if len(args) != 1 || json.Unmarshal([]byte(args[0]), &s.o) != nil {
		os.Exit(exitNotRun)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(exitNotRun)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.serveReport)
	mux.HandleFunc("POST /v1/order", s.serveOrder)
	mux.HandleFunc("/", s.serveRequest)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	go func() {
		for ; ; time.Sleep(heartbeat) {
			s.publish()
		}
	}()
	if s.o.Domain != "" {
		go s.passes()
	}
	tell("listens", "", "", s.address)
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		s.mu.Lock()
		if commands.Text() == "crash" {
			s.crash()
		}
		s.mu.Unlock()
	}
	os.Exit(0) // the rig has ended
}

var tellMu sync.Mutex

// tell tells the rig what happened.
func tell(event, id, from, text string) {
	line, _ := json.Marshal(serverEvent{event, id, from, text})
	tellMu.Lock()
	defer tellMu.Unlock()
	fmt.Println(string(line))
}

// publish writes the server's entry.
func (s *modelServer) publish() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{"service": s.o.Service, "address": s.address, "zone": s.o.Zone, "version": "v1", "slots": 17, "state": "ready", names["cold"]: 0,
		"seq": s.seq, "born": s.born}
	if s.o.Domain != "" {
		entry["domain"], entry["stage"], entry["models"], entry["staged"] = s.o.Domain, "both", []any{}, []string{}
		if s.model != "" {
			entry["models"] = []any{map[string]any{"name": s.model, "version": 1, "adapters": []string{}}}
		}
		if s.staged != "" {
			entry["staged"] = []string{s.staged}
		}
		if s.group.Name != "" {
			entry["group"] = s.group
		}
	}
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": s.o.ID}, "spec": entry})
	if status := s.callStore(http.MethodPut, "servers/"+s.o.ID, body); status == http.StatusNotFound {
		s.callStore(http.MethodPost, "servers", body)
	}
}

func (s *modelServer) callStore(method, path string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+s.o.Store+"/v1/objects/"+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// misdirected answers 421 to a request for another instance.
func (s *modelServer) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get(names["expect"]); want == "" || want == s.o.ID {
		return false
	}
	w.Header().Set(names["instance"], s.o.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (s *modelServer) serveReport(w http.ResponseWriter, r *http.Request) {
	if s.misdirected(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	seq := s.seq
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": seq, "queued": 0, "running": 0, "kv-used": 0,
		"kv-total": 1860000, "handles": 0, "born": s.born})
}

func (s *modelServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	if s.misdirected(w, r) {
		return
	}
	var o struct {
		Op, Group, Model string
		Epoch            uint64
		Members          []string
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	own := s.group.Name == o.Group && s.group.Epoch == o.Epoch
	switch {
	case o.Op == "stage":
		s.staged = o.Model
	case o.Op == "join" && o.Epoch < s.epoch:
		status = http.StatusPreconditionFailed
	case o.Op == "join" && !own:
		rank := 0
		for i, id := range o.Members {
			if id == s.o.ID {
				rank = i
			}
		}
		s.group, s.epoch, s.model = membership{o.Group, o.Epoch, rank, "joining"}, o.Epoch, o.Model
		time.AfterFunc(200*time.Millisecond, func() { s.becomeReady(o.Epoch) })
	case o.Op == "join":
		status = http.StatusOK
	case !own || o.Op == "open" && (s.group.State != "ready" || s.group.Rank != 0):
		status = http.StatusConflict
	case o.Op == "open":
		s.group.State = "open"
	case o.Op == "close":
		s.group.State = "ready"
	case o.Op == "leave":
		s.group = membership{}
	}
	s.mu.Unlock()
	tell("order", "", "", fmt.Sprintf("%s %s %d: %d", o.Op, o.Group, o.Epoch, status))
	s.publish()
	w.WriteHeader(status)
}

func (s *modelServer) becomeReady(epoch uint64) {
	s.mu.Lock()
	if s.group.Epoch == epoch && s.group.State == "joining" {
		s.group.State, s.staged = "ready", s.model
	}
	s.mu.Unlock()
	s.publish()
}

// serveRequest runs a plain request, or begins a stream.
func (s *modelServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.misdirected(w, r) {
		return
	}
	id := r.Header.Get(names["id"])
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.o.Domain != "" {
		s.beginStream(w, r, id)
		return
	}
	tell("run", id, "", "")
	time.Sleep(time.Duration(s.o.WorkMS) * time.Millisecond)
	w.Header().Set(names["id"], id)
	w.Header().Set(names["stamp"], s.o.ID+"."+id)
	fmt.Fprintf(w, "%s %s %d", r.Method, r.RequestURI, len(body))
}

// stream is an answer in progress.
type stream struct {
	conn    net.Conn
	id      string
	next    int // event to send next
	beginAt time.Time
	begun   bool
}

// beginStream accepts a stream. Its answer has neither a length nor chunks; its head is sent at once.
func (s *modelServer) beginStream(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	open := s.group.State == "open" && s.model == r.Header.Get(names["model"])
	s.mu.Unlock()
	if !open {
		w.Header().Set(names["id"], id)
		w.Header().Set(names["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := r.Header.Get("Last-Event-Id")
	after, _ := strconv.Atoi(from) // 0 if there is none
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	tell("accepts", id, from, "")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		names["id"], id, names["stamp"], s.o.ID, id, names["versions"])
	s.mu.Lock()
	s.streams[&stream{conn: conn, id: id, next: after + 1, beginAt: time.Now().Add(time.Duration(s.o.FirstMS) * time.Millisecond)}] = struct{}{}
	s.mu.Unlock()
}

// passes plays the passes of the engine: in each, every stream that has begun gets an event.
func (s *modelServer) passes() {
	for ; ; time.Sleep(time.Duration(s.o.EventMS) * time.Millisecond) {
		s.mu.Lock()
		for st := range s.streams {
			if time.Now().Before(st.beginAt) {
				continue
			}
			if !st.begun {
				st.begun = true
				tell("run", st.id, strconv.Itoa(st.next-1), "")
			}
			_, err := io.WriteString(st.conn, eventText(st.next))
			if st.next++; err != nil || st.next > s.o.Events {
				_ = st.conn.Close()
				delete(s.streams, st)
			}
		}
		s.mu.Unlock()
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// crash ends the process in the middle of a pass: each stream that has begun ends inside an event. The
// others have got no event yet. s.mu is held.
func (s *modelServer) crash() {
	for st := range s.streams {
		if st.begun {
			text := eventText(st.next)
			_, _ = io.WriteString(st.conn, text[:strings.Index(text, "data")+4])
		}
		tell("crashes", st.id, strconv.Itoa(st.next-1), fmt.Sprintf("begun %v", st.begun))
	}
	time.Sleep(5 * time.Millisecond)
	os.Exit(1)
}
