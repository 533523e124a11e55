package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pearlanding/platform/standin"
)

// heartbeat is the interval at which servers write their entries; after three without one an entry lapses.
const heartbeat = 1200 * time.Millisecond

// serversKind is the kind of the servers' entries.
const serversKind = "servers"

// clientHost is the host of all routes.
const clientHost = "ficu95.example"

// rig is a small deployment.
type rig struct {
	binary  string // of the daemons
	trouble bool
	dir     string // temporary
	began   time.Time
	store   *standin.Store
	address string // of the store
	config  map[string]any

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	servers map[string]*server
	runs    map[string][]run // by attempt id
	accepts map[string][]run // requests for streams that servers accepted, by attempt id
	// restoredAt is when the store came back from a copy. Its entries lapse three heartbeats later at the earliest.
	restoredAt time.Time
}

// run is one execution of a request by a server. from is the Last-Event-Id that it got.
type run struct{ server, from string }

func newRig(binary, record string) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{binary: binary, trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), store: standin.NewStore(), address: l.Addr().String(),
		record: f, servers: map[string]*server{}, runs: map[string][]run{}, accepts: map[string][]run{}}
	go func() { _ = (&http.Server{Handler: r.store, ReadHeaderTimeout: time.Minute}).Serve(l) }() // until the process ends
	go r.dropLapsed()
	r.note("trouble: %v", r.trouble)
	return r, nil
}

// close ends all processes.
func (r *rig) close() {
	r.mu.Lock()
	daemons, servers := r.daemons, r.servers
	r.mu.Unlock()
	for _, d := range daemons {
		d.mu.Lock()
		d.stopped = true
		d.mu.Unlock()
		d.kill()
		r.keepPanic(d)
	}
	for _, s := range servers {
		s.kill()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// keepPanic copies the head of what a daemon wrote when it ended by itself into the record, without the places
// of files.
func (r *rig) keepPanic(d *daemon) {
	text, err := os.ReadFile(filepath.Join(r.dir, d.name+".log"))
	if err != nil {
		return
	}
	_, text, found := bytes.Cut(text, []byte("\npanic: "))
	if !found {
		return
	}
	for i, line := range strings.SplitN(string(text), "\n", 30) {
		if i == 0 || strings.HasPrefix(line, "pearlanding/") {
			r.note("%s wrote when it ended: %.120s", d.name, line)
		}
	}
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// dropLapsed removes the entries of servers that no longer write them, as the platform does.
func (r *rig) dropLapsed() {
	for {
		time.Sleep(50 * time.Millisecond)
		r.mu.Lock()
		restoredAt := r.restoredAt
		r.mu.Unlock()
		for _, key := range r.store.Keys(serversKind) {
			if at := r.store.WrittenAt(key); !at.IsZero() && time.Since(at) > 3*heartbeat && time.Since(restoredAt) > 3*heartbeat {
				r.store.Remove(key)
				r.note("platform: entry %s lapsed", key)
			}
		}
	}
}

// restore makes the store come back from a copy.
func (r *rig) restore(backup standin.Copy) {
	r.mu.Lock()
	r.restoredAt = time.Now()
	r.mu.Unlock()
	r.store.Restore(backup)
	r.store.SetFaults(standin.StoreFaults{})
	r.note("platform: the store is back from the copy")
}

// configure writes the operator's configuration and returns when it was acknowledged.
func (r *rig) configure(version int, what string, config map[string]any) time.Time {
	config["version"] = version
	r.config = config
	r.store.Put("config/main", config)
	r.note("operator: version %d acknowledged: %s", version, what)
	return time.Now()
}

// daemon is one process of the system.
type daemon struct {
	rig                     *rig
	name, zone              string
	front, readiness, peers string
	settings                string
	cmd                     *exec.Cmd
	ended                   chan struct{}

	mu       sync.Mutex
	killed   bool // by the rig
	stopped  bool // it isn't started any more
	selfEnds int
}

// startDaemon starts a daemon as the deploy file does.
func (r *rig) startDaemon(name, zone string, bootstrap bool) (*daemon, error) {
	d := &daemon{rig: r, name: name, zone: zone, settings: filepath.Join(r.dir, name+".json")}
	for _, address := range []*string{&d.front, &d.readiness, &d.peers} {
		free, err := standin.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	return d, d.start(bootstrap)
}

// start starts the process, also again.
func (d *daemon) start(bootstrap bool) error {
	host, port, err := net.SplitHostPort(d.peers)
	if err != nil {
		return err
	}
	settings := settingsText("@node", d.name, "@ip", host, "@zone", d.zone, "@front", d.front, "@readiness", d.readiness, "@port", port,
		"@bootstrap", fmt.Sprint(bootstrap), "@heartbeat", fmt.Sprint(heartbeat.Milliseconds()), "@store", d.rig.address)
	if err := os.WriteFile(d.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.rig.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	metrics, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	d.cmd = exec.Command(d.rig.binary, "front", "--metrics", metrics)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.rig.dir, names["settings-file"] + "=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := d.cmd, make(chan struct{})
	d.killed, d.ended = false, ended
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		killed := d.killed
		if !killed {
			d.selfEnds++
		}
		d.mu.Unlock()
		d.rig.note("%s ended: %v, killed by the rig: %v", d.name, err, killed)
		close(ended)
		if !killed { // the platform starts it again
			time.Sleep(restartDelay)
			_ = d.start(false)
		}
	}()
	d.rig.note("%s started in %s, clients at %s", d.name, d.zone, d.front)
	return nil
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// kill ends the process by SIGKILL.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.killed = true
	d.mu.Unlock()
	if ended != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		<-ended
	}
}

// ownEnds returns how often the process ended by itself.
func (d *daemon) ownEnds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selfEnds
}

// ready reports whether the daemon's readiness check succeeds.
func (d *daemon) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (r *rig) awaitReady() error {
	for _, d := range r.daemons {
		if err := await(20*time.Second, d.name+" is ready", d.ready); err != nil {
			return err
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, what string, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("not in %v: %s", limit, what)
}

// goDark stops the server's process: its connections stay open, and nothing answers.
func (s *server) goDark() { _ = s.cmd.Process.Signal(syscall.SIGSTOP) }

// server is a process of a server.
type server struct {
	id    string
	cmd   *exec.Cmd
	stdin io.Writer
	ended chan struct{}
}

// serverEvent is a line that a server tells the rig.
type serverEvent struct {
	Event string `json:"event"`
	ID    string `json:"id,omitempty"`
	From  string `json:"from,omitempty"`
	Text  string `json:"text,omitempty"`
}

// startServer starts a server's process.
func (r *rig) startServer(o serverOptions) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	o.Store = r.address
	text, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	s := &server{id: o.ID, cmd: exec.Command(self, "server", string(text)), ended: make(chan struct{})}
	s.cmd.Stderr = os.Stderr
	if s.stdin, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.servers[o.ID] = s
	r.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e serverEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				r.noteServerEvent(s, e)
			}
		}
		_ = s.cmd.Wait()
		r.note("server %s ended", s.id)
		close(s.ended)
	}()
	return s, nil
}

func (r *rig) noteServerEvent(s *server, e serverEvent) {
	r.mu.Lock()
	switch e.Event {
	case "run":
		r.runs[e.ID] = append(r.runs[e.ID], run{s.id, e.From})
	case "accepts":
		r.accepts[e.ID] = append(r.accepts[e.ID], run{s.id, e.From})
	}
	r.mu.Unlock()
	r.note("server %s: %s %s %s %s", s.id, e.Event, e.ID, e.From, e.Text)
}

// tell sends a command to the server's process.
func (s *server) tell(command string) { _, _ = io.WriteString(s.stdin, command+"\n") }

func (s *server) kill() {
	if s.cmd.Process != nil {
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
		<-s.ended
	}
}

// runsOf returns the runs of a request.
func (r *rig) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// resumption returns the engine that last accepted a stream after another one had, and the Last-Event-Id that it
// got; empty if there was only one.
func (r *rig) resumption(id string) (server, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.accepts[id]
	if len(list) < 2 {
		return "", ""
	}
	last := list[len(list)-1]
	return last.server, last.from
}

// request is what a client sends.
type request struct {
	method, path, id, key string
	body                  string
	deadline              time.Duration
	header                map[string]string
}

// answer is what a client got. whole is true if the answer was complete.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
}

// send sends a request on a new connection and reads the answer.
func (r *rig) send(d *daemon, q request) answer {
	req, err := http.NewRequest(q.method, "http://"+d.front+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = clientHost
	req.Header.Set(names["id"], q.id)
	req.Header.Set(names["deadline"], fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+q.key)
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		r.note("client: %s to %s: %v", q.id, d.name, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	a := answer{resp.StatusCode, resp.Header, body.String(), err == nil, err}
	r.note("client: %s to %s: %d, stamp %q, %d bytes, whole %v", q.id, d.name, a.status, a.header.Get(names["stamp"]), len(a.body), a.whole)
	return a
}

// errTooFew means that the case could not show anything.
var errTooFew = errors.New("too few requests met the disruption")
