package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// clients send requests to the daemons, each over kept connections.
type clients struct {
	site   *site
	client *http.Client
	nextID atomic.Int64
}

func newClients(s *site) *clients {
	return &clients{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// answer is what a client got for one request.
type answer struct {
	id      string
	status  int // 0: no answer
	stamped bool
}

// send sends one request to a daemon and waits for its answer.
func (c *clients) send(d *daemon, method, path string, deadline time.Duration, body []byte) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.nextID.Add(1))}
	req, err := http.NewRequest(method, "http://"+d.callers+path, bytes.NewReader(body))
	if err != nil {
		c.site.note("failed   %s: %v", a.id, err)
		return a
	}
	req.Host = host
	req.Header.Set(names["id"], a.id)
	req.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	c.site.note("sent     %s %s %s to %s", a.id, method, path, d.node)
	resp, err := c.client.Do(req)
	if err != nil {
		c.site.note("failed   %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.site.note("failed   %s in the answer %d: %v", a.id, resp.StatusCode, err)
		return a
	}
	a.status, a.stamped = resp.StatusCode, resp.Header.Get(names["stamp"]) != ""
	c.site.note("answered %s %d, stamped %t, %d bytes", a.id, a.status, a.stamped, len(text))
	return a
}
