// Package faultrun runs the system as separate processes under a seeded schedule
// of faults, with callers of both kinds and an operator, and judges the promises
// from the stand-ins' own records. It is test equipment: nothing in the product
// starts a process.
package faultrun

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Options of one run.
type Options struct {
	Binary   string // the pearlanding binary
	Dir      string // for settings and logs
	Seed     uint64
	Duration time.Duration // of the faults; starting and settling come on top
	Daemons  int
}

// process is one process of the system.
type process struct {
	name string
	args []string
	log  *os.File
	cmd  *exec.Cmd
}

func (p *process) start(binary string) error {
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return errors.Trace(p.cmd.Start())
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and reaps it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.cmd != nil {
		_ = p.cmd.Wait()
	}
}

// daemonAddr holds a daemon's listeners.
type daemonAddr struct{ callers, operators, peers string }

// system is all processes of a run.
type system struct {
	opts     Options
	platform string // URL
	service  string // IP:port
	engines  []string
	daemons  []daemonAddr
	procs    map[string]*process
}

const (
	token        = "fault-run"
	vmsPerDomain = 3
	groupSize    = 2
)

var domains = []string{"rg-a", "rg-b"}

func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// startSystem starts every process; stop ends them all.
func startSystem(o Options) (*system, error) {
	s := &system{opts: o, procs: map[string]*process{}}
	ports, err := freePorts(2 + 3*o.Daemons)
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	s.platform, s.service = "http://"+local(ports[0]), local(ports[1])
	err = s.run("platform", "standin", "platform", "--listen", local(ports[0]), "--writes", "0", "--weights-gb", "0")
	if err == nil {
		err = s.run("service", "standin", "service", "--listen", s.service)
	}
	for _, domain := range domains {
		if err == nil {
			err = s.startEngines(domain)
		}
	}
	for i := range o.Daemons {
		a := daemonAddr{local(ports[2+3*i]), local(ports[3+3*i]), local(ports[4+3*i])}
		s.daemons = append(s.daemons, a)
		if err == nil {
			err = s.startDaemon(i)
		}
	}
	if err != nil {
		s.stop()
	}
	return s, err
}

func (s *system) run(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(s.opts.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	p := &process{name: name, args: args, log: log}
	s.procs[name] = p
	return p.start(s.opts.Binary)
}

// startEngines starts a domain's VMs on ports that follow one another.
func (s *system) startEngines(domain string) error {
	for try := 0; try < 50; try++ {
		first, err := freePorts(1)
		if err != nil {
			return err
		}
		if !allFree(first[0], vmsPerDomain) {
			continue
		}
		for i := range vmsPerDomain {
			s.engines = append(s.engines, fmt.Sprintf("127.0.0.1:%d", first[0]+i))
		}
		return s.run("engines-"+domain, "standin", "engines", "--prefix", domain+"-vm-", "--count", fmt.Sprint(vmsPerDomain),
			"--port", fmt.Sprint(first[0]), "--domain", domain, "--token-time", "5ms", "--platform", s.platform)
	}
	return errors.New("no ports that follow one another are free")
}

func allFree(first, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (s *system) startDaemon(i int) error {
	a := s.daemons[i]
	path := filepath.Join(s.opts.Dir, fmt.Sprintf("entry-%d.ini", i))
	text := fmt.Sprintf("[daemon]\nname = entry-%d\nplace = rio-grande\ndomain = rg-a\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n[platform]\nurl = %s\n[limits]\ndeadline = 10s\n",
		i, a.callers, a.operators, a.peers, s.platform)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return errors.Trace(err)
	}
	return s.run(daemonName(i), "serve", "--config", path)
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *system) stop() {
	for _, p := range s.procs {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.log.Close()
	}
}

// fakeClient gives up soon: the stand-in asked may be frozen by another fault.
var fakeClient = &http.Client{Timeout: 500 * time.Millisecond}

// fake sends a fault to a stand-in's control endpoint.
func fake(ctx context.Context, method, url, body string) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	if resp, err := fakeClient.Do(req); err == nil {
		resp.Body.Close()
	}
}
