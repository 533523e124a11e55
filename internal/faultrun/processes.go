// Package faultrun runs the system as separate processes under a seeded schedule of faults,
// with callers of both kinds and an operator, and checks the system's promises against the
// stand-ins' own records. It is used by tests only: the product itself starts no process.
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

// Options are the options of one run.
type Options struct {
	Binary   string // the pearlanding binary
	Dir      string // directory for settings and logs
	Seed     uint64
	Duration time.Duration // time during which faults are injected; start and recovery take extra time
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

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.cmd != nil {
		_ = p.cmd.Wait()
	}
}

// daemonAddresses holds the listening addresses of a daemon, each IP:port.
type daemonAddresses struct{ callers, operators, peers string }

// system holds all processes of a run.
type system struct {
	opts     Options
	platform string // URL
	service  string // IP:port
	engines  []string
	daemons  []daemonAddresses
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

// startSystem starts every process. If one fails to start, it stops the others.
func startSystem(o Options) (*system, error) {
	s := &system{opts: o, procs: map[string]*process{}}
	ports, err := freePorts(2 + 3*o.Daemons)
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	s.platform, s.service = "http://"+local(ports[0]), local(ports[1])
	err = s.startProcess("platform", "standin", "platform", "--listen", local(ports[0]), "--writes", "0", "--weights-gb", "0")
	if err == nil {
		err = s.startProcess("service", "standin", "service", "--listen", s.service)
	}
	for _, domain := range domains {
		if err == nil {
			err = s.startEngines(domain)
		}
	}
	for i := range o.Daemons {
		a := daemonAddresses{local(ports[2+3*i]), local(ports[3+3*i]), local(ports[4+3*i])}
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

func (s *system) startProcess(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(s.opts.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	p := &process{name: name, args: args, log: log}
	s.procs[name] = p
	return p.start(s.opts.Binary)
}

// startEngines starts a domain's VMs on consecutive ports.
func (s *system) startEngines(domain string) error {
	for try := 0; try < 50; try++ {
		first, err := freePorts(1)
		if err != nil {
			return err
		}
		if !portsFree(first[0], vmsPerDomain) {
			continue
		}
		for i := range vmsPerDomain {
			s.engines = append(s.engines, fmt.Sprintf("127.0.0.1:%d", first[0]+i))
		}
		return s.startProcess("engines-"+domain, "standin", "engines", "--prefix", domain+"-vm-", "--count", fmt.Sprint(vmsPerDomain),
			"--port", fmt.Sprint(first[0]), "--domain", domain, "--token-time", "5ms", "--platform", s.platform)
	}
	return errors.New("no consecutive free ports found")
}

func portsFree(first, n int) bool {
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
	return s.startProcess(daemonName(i), "serve", "--config", path)
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *system) stop() {
	for _, p := range s.procs {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.log.Close()
	}
}

// faultClient has a short timeout because another fault may have frozen the stand-in.
var faultClient = &http.Client{Timeout: 500 * time.Millisecond}

// setFault sends a fault to a stand-in's /fake endpoint and ignores errors.
func setFault(ctx context.Context, method, url, body string) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	if resp, err := faultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}
