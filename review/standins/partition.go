package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"pearlanding/platform/soak"
	"pearlanding/platform/standin"
)

// Sizes of the case.
const (
	partitionZones  = 3
	zoneMachines    = 3
	calmTime        = 10 * time.Second
	partitionTime   = 20 * time.Second
	afterTime       = 5 * time.Second
	partitionStream = 90 * time.Millisecond // between two streams at one machine
	partitionPlain  = 700 * time.Millisecond
)

// tries counts first tries.
type tries struct{ served, sent int }

// partitionedMachines cuts the machines of one zone off from all engines: their open connections are reset,
// and so is each new one as soon as it is there; with CUT=hang they carry nothing instead. It compares how often first tries are served at these
// machines and at the others.
func partitionedMachines(s *site) (int, error) {
	g := &groupSite{site: s, paths: newPaths()}
	own := []string{"zone-a", "zone-b", "zone-c"}
	g.config = standin.SiteConfig{Domains: groupDomains, PerDomain: domainEngines, Plain: 3, Zones: own,
		Load: 1600 * time.Millisecond, Event: 20 * time.Millisecond, Events: 30,
		Advertise: func(_, address string) (string, error) { return address, g.paths.addEngine(address) }}
	stores := map[string]string{}
	for _, zone := range own {
		address, err := g.paths.addZone(zone)
		if err != nil {
			return failed, err
		}
		stores[zone] = address
	}
	engines, err := standin.StartSite(g.config)
	if err != nil {
		return failed, err
	}
	g.engines, g.paths.store = engines, engines.Store
	defer engines.Stop()
	for i := range partitionZones * zoneMachines {
		zone := own[i%partitionZones]
		if err := s.addDaemon(fmt.Sprintf("front-%s-%d", zone, i/partitionZones+1), zone, stores[zone]); err != nil {
			return failed, err
		}
	}
	if err := s.awaitDaemons(); err != nil {
		return failed, err
	}
	if !g.awaitGroups(30 * time.Second) {
		return failed, errors.New("no groups opened")
	}
	return g.playPartition(own[0])
}

// playPartition sends requests to all machines, cuts those of a zone, and judges.
func (g *groupSite) playPartition(zone string) (int, error) {
	begin := time.Now()
	cutAt := begin.Add(calmTime)
	healAt := cutAt.Add(partitionTime)
	end := healAt.Add(afterTime)
	var mu sync.Mutex
	counted := map[bool]*tries{true: {}, false: {}} // by whether the machine was cut off
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var senders sync.WaitGroup
	for di, d := range g.daemons {
		for ki, kind := range []partitionKind{{http.MethodPost, standin.StreamPath, standin.SmallModel, partitionStream},
			{http.MethodPost, standin.AtMostOncePath, "", partitionPlain}, {http.MethodGet, standin.IdempotentPath, "", partitionPlain}} {
			senders.Go(func() {
				var requests sync.WaitGroup
				for n := 0; time.Now().Before(end); n++ {
					requests.Go(func() {
						at := time.Now()
						served := g.send(client, d, kind, fmt.Sprintf("%02x%02x%012x", di+1, ki, n))
						if at.Before(cutAt.Add(contact)) || !at.Before(healAt) {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						t := counted[di%partitionZones == 0]
						t.sent++
						if served {
							t.served++
						}
					})
					time.Sleep(kind.every)
				}
				requests.Wait()
			})
		}
	}
	time.Sleep(time.Until(cutAt))
	if g.trouble {
		g.note("cut      the machines of %s from all engines", zone)
		mode := soak.Reset
		if os.Getenv("CUT") == "hang" {
			mode = soak.Silent
		}
		g.paths.setAll(zone, mode)
	}
	time.Sleep(time.Until(healAt))
	if g.trouble {
		g.note("healed   %s", zone)
		g.paths.setAll(zone, soak.Pass)
	}
	senders.Wait()
	cut, others := counted[true], counted[false]
	cutShare, othersShare := float64(cut.served)/float64(cut.sent), float64(others.served)/float64(others.sent)
	failedThere, allowed := cut.sent-cut.served, 10+(cut.sent+others.sent)/50
	summary := fmt.Sprintf("first tries served at machines cut off: %d of %d (%.3f), at the others: %d of %d (%.3f); %d failed there (%d allowed)",
		cut.served, cut.sent, cutShare, others.served, others.sent, othersShare, failedThere, allowed)
	g.note("%s", summary)
	fmt.Println(summary)
	switch {
	case othersShare < 0.9:
		return failed, errors.New("too little was served at the others")
	case 3*cutShare < 2*othersShare && failedThere > allowed:
		g.note("BROKEN   RECOVER")
		return broken, nil
	}
	return held, nil
}

// partitionKind is a kind of requests.
type partitionKind struct {
	method, path, model string
	every               time.Duration
}

// send sends one request and reports whether it was served whole.
func (g *groupSite) send(client *http.Client, d *daemon, kind partitionKind, id string) bool {
	req, err := http.NewRequest(kind.method, "http://"+d.callers+kind.path+id, nil)
	if err != nil {
		g.note("failed   %s: %v", id, err)
		return false
	}
	req.Host = standin.Host
	standin.SetRequestHeader(req.Header, id, standin.Key, kind.model, 6*time.Second)
	g.note("sent     %s %s to %s", id, kind.path, d.node)
	resp, err := client.Do(req)
	if err != nil {
		g.note("failed   %s: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	g.note("answered %s %d, %d bytes, error %v, ran at %v", id, resp.StatusCode, len(text), err, enginesOf(g.engines.Ledger.Runs(id)))
	return err == nil && resp.StatusCode == http.StatusOK
}

// enginesOf returns the engines of some runs.
func enginesOf(runs []standin.Run) (out []string) {
	for _, r := range runs {
		out = append(out, r.Engine)
	}
	return out
}
