package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pearlanding/platform/standin"
)

// Sizes of the case, within those of the users' sheets.
const (
	groupDomains  = 3
	domainEngines = 10
	cutEngines    = 6 // of 30: a share of 0.2
	crashEngines  = 5 // of 30: a share of 0.17
	cutTime       = 5500 * time.Millisecond
	crashDelay    = 200 * time.Millisecond  // from the begin of the cut
	lapseTime     = 3600 * time.Millisecond // three heartbeats
	healTime      = 2 * time.Second
	refusedTime   = 100 * time.Second
	streamEvery   = 200 * time.Millisecond
)

// machinesOf is how many machines each zone has: at most 0.3 of them are in one.
var machinesOf = map[string]int{"zone-a": 3, "zone-b": 3, "zone-c": 2, "zone-d": 2}

// groupSite is a deployment with model engines.
type groupSite struct {
	*site
	paths   *paths
	engines *standin.Site
	config  standin.SiteConfig
	added   int
}

// refusedLeave cuts the machines of one zone, that of the machine which gives orders, from some heads of
// groups, with refused connections, while members of their groups crash. It counts engines that were joined
// to a group while the head of their own group was open.
func refusedLeave(s *site) (int, error) {
	g := &groupSite{site: s, paths: newPaths()}
	g.config = standin.SiteConfig{Domains: groupDomains, PerDomain: domainEngines, Zones: []string{"zone-a", "zone-b", "zone-c"},
		Load: 1600 * time.Millisecond, Event: 20 * time.Millisecond, Events: 30,
		Advertise: func(_, address string) (string, error) { return address, g.paths.addEngine(address) }}
	stores := map[string]string{}
	for zone := range machinesOf {
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
	for _, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d"} {
		for i := range machinesOf[zone] {
			if err := s.addDaemon(fmt.Sprintf("front-%s-%d", zone, i+1), zone, stores[zone]); err != nil {
				return failed, err
			}
		}
	}
	if err := s.awaitDaemons(); err != nil {
		return failed, err
	}
	if !g.awaitGroups(30 * time.Second) {
		return failed, errors.New("no groups opened")
	}
	return g.play()
}

// play repeats the disruption until the rule is broken or the time is over.
func (g *groupSite) play() (int, error) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { g.sendStreams(stop) })
	cuts, crashes := 0, 0
	for end := time.Now().Add(refusedTime); time.Now().Before(end) && len(g.engines.Groups.Violations()) == 0; {
		heads := g.openHeads()
		heads = heads[:min(len(heads), cutEngines)]
		zone := g.paths.leadersZone()
		if g.trouble {
			for _, id := range heads {
				g.note("cut      %s from the machines of %s", id, zone)
				g.paths.cut(zone, g.engines.Engine(id).Address(), true)
				cuts++
			}
		}
		time.Sleep(crashDelay)
		crashes += g.crashMembers(heads)
		time.Sleep(cutTime - crashDelay)
		for _, id := range heads {
			if e := g.engines.Engine(id); e != nil && g.trouble {
				g.note("healed   %s from %s", id, zone)
				g.paths.cut(zone, e.Address(), false)
			}
		}
		g.awaitGroups(healTime)
	}
	close(stop)
	callers.Wait()
	violations := g.engines.Groups.Violations()
	for _, v := range violations {
		g.note("BROKEN   TWO: %s", v)
	}
	summary := fmt.Sprintf("%d cuts of a head, %d crashes of a member, %d joins against the rule", cuts, crashes, len(violations))
	g.note("%s", summary)
	fmt.Println(summary)
	switch {
	case len(violations) > 0:
		return broken, nil
	case crashes == 0 || g.trouble && cuts == 0:
		return failed, errors.New("no head was cut or no member crashed")
	}
	return held, nil
}

// openHeads returns the heads of open groups in random order.
func (g *groupSite) openHeads() (out []string) {
	for _, id := range g.engines.IDs() {
		if g.engines.Engine(id).State() == "open" {
			out = append(out, id)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// awaitGroups waits until groups are open in all domains, and reports whether they are.
func (g *groupSite) awaitGroups(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		domains := map[string]int{}
		for _, id := range g.openHeads() {
			domains[g.engines.Engine(id).Domain()]++
		}
		if len(domains) == groupDomains && len(g.openHeads()) >= cutEngines+2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return len(g.openHeads()) > 0
}

// crashMembers crashes a member of each of the heads' groups, for good. Its entry lapses after three
// heartbeats; another engine comes in its place.
func (g *groupSite) crashMembers(heads []string) (crashes int) {
	for _, head := range heads {
		if crashes == crashEngines {
			return crashes
		}
		e := g.engines.Engine(head)
		if e == nil || e.State() != "open" || len(e.Members()) < 2 {
			continue
		}
		id := e.Members()[1]
		member := g.engines.Engine(id)
		if member == nil {
			continue
		}
		g.note("crash    of %s, a member of the group of %s", id, head)
		member.Stop()
		crashes++
		time.AfterFunc(lapseTime, func() { g.engines.Remove(id) })
		domain, zone := member.Domain(), member.Zone()
		g.added++
		added := fmt.Sprintf("e-new-%02d", g.added)
		time.AfterFunc(lapseTime+time.Second, func() {
			if _, err := g.engines.AddInZone(g.config, added, domain, zone); err != nil {
				g.note("%s does not start: %v", added, err)
			}
		})
	}
	return crashes
}

// sendStreams sends streams to the machines in turn.
func (g *groupSite) sendStreams(stop <-chan struct{}) {
	client := &http.Client{Timeout: 8 * time.Second}
	var requests sync.WaitGroup
	defer requests.Wait()
	models := []string{standin.LargeModel, standin.SmallModel}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(streamEvery):
		}
		d := g.daemons[n%len(g.daemons)]
		requests.Go(func() {
			id := fmt.Sprintf("%016x", 0x2c41d07b00000000+n)
			req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+standin.StreamPath+id, nil)
			if err != nil {
				g.note("failed   %s: %v", id, err)
				return
			}
			req.Host = standin.Host
			standin.SetRequestHeader(req.Header, id, standin.Key, models[n/len(g.daemons)%2], 6*time.Second)
			g.note("sent     %s to %s", id, d.node)
			resp, err := client.Do(req)
			if err != nil {
				g.note("failed   %s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			g.note("answered %s %d, %d bytes, error %v, ran at %v", id, resp.StatusCode, len(text), err, enginesOf(g.engines.Ledger.Runs(id)))
		})
	}
}
