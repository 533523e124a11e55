package main

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"pearlanding/platform/soak"
)

// paths are the links from the machines of each zone to the engines: a proxy for each zone and engine. The
// machines of a zone reach the store through a listener of their own, which puts the proxies' addresses in
// the place of the engines'.
type paths struct {
	store http.Handler

	mu      sync.Mutex
	proxies map[string]map[string]*soak.Proxy // by zone and by the engine's own address
	leader  string                            // zone of the machine that last wrote the lease under a condition
}

func newPaths() *paths { return &paths{proxies: map[string]map[string]*soak.Proxy{}} }

// addZone starts the store's listener for a zone and returns its address.
func (p *paths) addZone(zone string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.proxies[zone] = map[string]*soak.Proxy{}
	p.mu.Unlock()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveStore(zone, w, r) })
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// addEngine starts the proxies in front of an engine.
func (p *paths) addEngine(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, byAddress := range p.proxies {
		proxy, err := soak.NewProxy(address)
		if err != nil {
			return err
		}
		byAddress[address] = proxy
	}
	return nil
}

// cut makes the path from a zone's machines to an engine refuse new connections and reset the open ones, or
// work again.
func (p *paths) cut(zone, address string, down bool) {
	p.mu.Lock()
	proxy := p.proxies[zone][address]
	p.mu.Unlock()
	proxy.SetDown(down)
}

// setAll sets the mode of the paths from a zone's machines to all engines.
func (p *paths) setAll(zone string, mode soak.Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.proxies[zone] {
		proxy.Set(mode)
	}
}

// leadersZone returns the zone of the machine that last wrote the lease under a condition.
func (p *paths) leadersZone() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

// heldAnswer is an answer of the store whose body is changed before it is sent.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (a *heldAnswer) WriteHeader(status int)         { a.status = status }
func (a *heldAnswer) Write(text []byte) (int, error) { return a.body.Write(text) }

func (p *paths) serveStore(zone string, w http.ResponseWriter, r *http.Request) {
	a := &heldAnswer{ResponseWriter: w, status: http.StatusOK}
	p.store.ServeHTTP(a, r)
	p.mu.Lock()
	if r.Method == http.MethodPut && strings.Contains(r.URL.Path, "leases") && a.status == http.StatusOK {
		p.leader = zone
	}
	var pairs []string
	for address, proxy := range p.proxies[zone] {
		pairs = append(pairs, `"`+address+`"`, `"`+proxy.Address()+`"`)
	}
	p.mu.Unlock()
	w.WriteHeader(a.status)
	_, _ = strings.NewReplacer(pairs...).WriteString(w, a.body.String()) // the machine may have left
}
