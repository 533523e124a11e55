package main

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
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

// wire holds the platform's names and formats, as its pages tell them.
//
//go:embed wire
var wire embed.FS

// names are the platform's headers and variables by their short names.
var names = func() (out map[string]string) {
	if err := json.Unmarshal([]byte(text("names.json")), &out); err != nil {
		panic(err)
	}
	return out
}()

// text returns a file of wire, with values in the place of their marks.
func text(file string, marksAndValues ...string) string {
	data, err := wire.ReadFile("wire/" + file)
	if err != nil {
		panic(err)
	}
	return strings.NewReplacer(marksAndValues...).Replace(string(data))
}

// zones are those of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Names of the configuration.
const (
	host = "site.example"
	key  = "key-of-harbour"
)

// readyTimeout bounds the start of the daemons.
const readyTimeout = 20 * time.Second

// site is a small deployment: a store, engines and daemons.
type site struct {
	trouble bool
	dir     string // of settings and logs
	store   *standin.Store
	address string // of the store
	version int    // of the configuration
	daemons []*daemon
	begun   time.Time

	mu     sync.Mutex
	record *os.File
	runs   map[string][]string // engines that ran a request, by its id
}

func newSite(record *os.File, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{trouble: trouble, dir: dir, store: standin.NewStore(), begun: time.Now(), record: record, runs: map[string][]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	s.note("trouble=%t", trouble)
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f ", time.Since(s.begun).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// noteRun records that an engine runs a request.
func (s *site) noteRun(id, engine string) {
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], engine)
	s.mu.Unlock()
	s.note("run      %s at %s", id, engine)
}

// runsOf returns the engines that ran a request.
func (s *site) runsOf(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// configure writes a file of wire as the next version of the configuration.
func (s *site) configure(file string) {
	s.version++
	s.store.Put("config/main", json.RawMessage(text(file, "@version", fmt.Sprint(s.version))))
}

// addEngine starts an engine of the plain service and writes its entry.
func (s *site) addEngine(id, zone string, handler http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	s.store.Put("servers/"+id, json.RawMessage(text("entry.json", "@service", "app", "@address", l.Addr().String(),
		"@zone", zone, "@born", fmt.Sprint(time.Now().UnixMilli()))))
	return nil
}

// daemon is one process of the project.
type daemon struct {
	node, callers, readiness string
	cmd                      *exec.Cmd
}

// startDaemons starts daemons, spread over the zones, and waits until all are ready.
func (s *site) startDaemons(n int) error {
	for i := range n {
		if err := s.addDaemon(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)], s.address); err != nil {
			return err
		}
	}
	return s.awaitDaemons()
}

// addDaemon starts a daemon that reaches the store at an address.
func (s *site) addDaemon(node, zone, store string) error {
	d, err := s.startDaemon(node, zone, store)
	if err == nil {
		s.daemons = append(s.daemons, d)
	}
	return err
}

// awaitDaemons waits until all daemons are ready.
func (s *site) awaitDaemons() error {
	end := time.Now().Add(readyTimeout)
	for _, d := range s.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.node)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("%d daemons ready", len(s.daemons))
	return nil
}

func (s *site) startDaemon(node, zone, store string) (*daemon, error) {
	d := &daemon{node: node}
	var peers, metrics string
	for _, address := range []*string{&d.callers, &d.readiness, &peers, &metrics} {
		var err error
		if *address, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	ip, port, err := net.SplitHostPort(peers)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(s.dir, node+".json")
	err = os.WriteFile(settings, []byte(text("settings.json", "@node", node, "@ip", ip, "@zone", zone, "@callers", d.callers,
		"@readiness", d.readiness, "@port", port, "@bootstrap", "true", "@store", store)), 0o644)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, node+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d.cmd = exec.Command("target/pearlanding", "front", "--metrics", metrics)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings-file"] + "=" + settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d, d.cmd.Start()
}

// ready asks the daemon whether it is ready, as the platform does.
func (d *daemon) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// close ends all processes and removes their files.
func (s *site) close() error {
	var errs []error
	for _, d := range s.daemons {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait() // it was killed: its status is no error
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		errs = append(errs, os.CopyFS(keep, os.DirFS(s.dir)))
	}
	return errors.Join(append(errs, os.RemoveAll(s.dir), s.record.Close())...)
}
