package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearlanding/platform/standin"
)

const harbourKey = "n2ctnfzs989anu6wsjnb"

// startSite starts servers of the plain service and daemons, and waits until all are ready.
func (r *rig) startSite(plain, daemons int, o serverOptions, zones ...string) error {
	if len(zones) == 0 {
		zones = []string{"rio-grande"}
	}
	for i := range plain {
		o.ID, o.Service, o.Zone = fmt.Sprintf("i-app-%d", i), "wuno96b", "rio-grande"
		if _, err := r.startServer(o); err != nil {
			return err
		}
	}
	for i := range daemons {
		if _, err := r.startDaemon(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// emptyResumption: engines crash. Two of twelve engines, heads of groups, crash 50 ms one after the other.
func emptyResumption(r *rig) ([]string, error) {
	r.configure(1, "first", config(harbourKey))
	const engines, events = 12, 30
	for i := range engines {
		o := serverOptions{ID: fmt.Sprintf("i-eng-%02d", i), Service: "huvo11a", Zone: "rio-grande", Domain: fmt.Sprintf("domain-%d", i/6), Events: events, EventMS: 60, FirstMS: 150}
		if _, err := r.startServer(o); err != nil {
			return nil, err
		}
	}
	if err := r.startSite(0, 2, serverOptions{}); err != nil {
		return nil, err
	}
	for i, d := range r.daemons {
		n := 0
		if err := await(30*time.Second, d.name+" serves streams", func() bool { n++; return r.stream(d, fmt.Sprintf("aa%d%06x", i, n)).status == 200 }); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second) // the other groups open
	const perSecond, seconds = 120, 8
	var sent sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for n := range perSecond * seconds {
		if n == 5*perSecond && r.trouble {
			if err := r.crashTwoHeads(); err != nil {
				return nil, err
			}
		}
		id, d := fmt.Sprintf("%016x", n+1), r.daemons[n%len(r.daemons)]
		sent.Go(func() {
			a := r.stream(d, id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
		time.Sleep(time.Second / perSecond)
	}
	sent.Wait()
	var broken []string
	whole := 0
	for id, a := range answers {
		if a.status != 200 || !a.whole {
			continue
		}
		n := strings.Count(a.body, "\n\n")
		if n == events {
			whole++
		} else if server, from := r.resumption(id); server != "" {
			broken = append(broken, fmt.Sprintf("ORDER: stream %s ends as complete after %d of %d pieces; it was continued at %s after %s", id, n, events, server, from))
		}
	}
	r.note("%d of %d streams whole", whole, len(answers))
	if whole < len(answers)/2 {
		return nil, errTooFew
	}
	return broken, nil
}

// stream sends a request for a stream.
func (r *rig) stream(d *daemon, id string) answer {
	return r.send(d, request{method: "POST", path: "/lohu930/2f", id: id, key: harbourKey, body: "berth the Aurora", deadline: 8 * time.Second,
		header: map[string]string{names["model"]: "rada7437b5", names["tokens"]: "100,40", names["parts"]: "5c1e07a2:40," + id + ":60"}})
}

// crashTwoHeads crashes the two heads with most streams in progress, one 50 ms after the other.
func (r *rig) crashTwoHeads() error {
	byServer := map[string]int{}
	r.mu.Lock()
	for _, runs := range r.runs {
		byServer[runs[len(runs)-1].server]++
	}
	r.mu.Unlock()
	var heads []string
	for len(heads) < 2 {
		best := ""
		for id, n := range byServer {
			if best == "" || n > byServer[best] || n == byServer[best] && id < best {
				best = id
			}
		}
		if best == "" {
			return fmt.Errorf("only %d heads serve", len(heads))
		}
		heads = append(heads, best)
		delete(byServer, best)
	}
	r.note("trouble: engines %v crash", heads)
	r.servers[heads[0]].tell("crash")
	time.Sleep(50 * time.Millisecond)
	r.servers[heads[1]].tell("crash")
	return nil
}

// keyAfterRestore: the drill, and a daemon that is killed meanwhile. A key is taken away; later the store is
// away for a moment and back from a copy that is older than that change. The operator writes again what was
// lost.
func keyAfterRestore(r *rig) ([]string, error) {
	const otherKey = "anfqasnmgkcuyj8pjbvk"
	const revoke, away, rewrite = 5 * time.Second, 700 * time.Millisecond, 1500 * time.Millisecond
	r.configure(1, "two keys", config(harbourKey, otherKey))
	if err := r.startSite(2, 6, serverOptions{WorkMS: 10}, "rio-grande", "itajai", "paranagua"); err != nil {
		return nil, err
	}
	n := 0
	call := func(d *daemon, key string) (string, answer) {
		n++
		id := fmt.Sprintf("%016x", n)
		return id, r.send(d, request{method: "GET", path: "/cufi504/2f", id: id, key: key, deadline: time.Second})
	}
	for _, d := range r.daemons {
		if err := await(10*time.Second, d.name+" serves both keys", func() bool {
			_, a := call(d, harbourKey)
			_, b := call(d, otherKey)
			return a.status == 200 && b.status == 200
		}); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	backup := r.store.Copy()
	r.note("platform: the store is copied")
	time.Sleep(time.Second)
	removed := config(otherKey)
	acknowledged := r.configure(2, "the first key is removed", removed)
	time.Sleep(revoke + time.Second)
	for _, d := range r.daemons {
		if _, a := call(d, harbourKey); a.status != 401 {
			return nil, fmt.Errorf("%s answers %d to the removed key before the trouble", d.name, a.status)
		}
	}
	victims := []*daemon{r.daemons[0], r.daemons[3]} // both of a zone
	if r.trouble {
		r.note("trouble: the store is away for %v, and both daemons of %s are killed", away, victims[0].zone)
		r.store.SetFaults(standin.StoreFaults{Silent: true})
		for _, d := range victims {
			d.kill()
		}
		time.Sleep(away)
		r.restore(backup)
		for _, d := range victims {
			if err := d.start(false); err != nil {
				return nil, err
			}
		}
		time.AfterFunc(rewrite, func() { r.configure(2, "the first key is removed, written again", removed) })
	}
	var broken []string
	served := 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sentAt, d := time.Now(), victims[n/2%2]
		id, _ := call(d, harbourKey)
		if runs := r.runsOf(id); len(runs) > 0 && sentAt.Sub(acknowledged) > revoke {
			broken = append(broken, fmt.Sprintf("CONFIG: request %s to %s, sent %.1f s after the removal of its key was acknowledged, ran at %s", id, d.name, sentAt.Sub(acknowledged).Seconds(), runs[0].server))
		}
		if _, a := call(d, otherKey); a.status == 200 {
			served++
		}
	}
	r.note("%d requests with the other key were served", served)
	if served == 0 {
		return broken, errTooFew
	}
	return broken, nil
}

// foreignEntry: an engine is lost for good, silently, and another writer writes an entry with a service that no
// configuration names.
func foreignEntry(r *rig) ([]string, error) {
	r.configure(1, "first", config(harbourKey))
	const engines, events = 8, 12
	for i := range engines {
		o := serverOptions{ID: fmt.Sprintf("i-eng-%02d", i), Service: "huvo11a", Zone: "rio-grande", Domain: fmt.Sprintf("domain-%d", i/4), Events: events, EventMS: 40, FirstMS: 100}
		if _, err := r.startServer(o); err != nil {
			return nil, err
		}
	}
	if err := r.startSite(2, 3, serverOptions{WorkMS: 10}); err != nil {
		return nil, err
	}
	for i, d := range r.daemons {
		n := 0
		if err := await(30*time.Second, d.name+" serves streams", func() bool { n++; return r.stream(d, fmt.Sprintf("aa%d%06x", i, n)).status == 200 }); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second) // the other groups open
	if r.trouble {
		if err := r.loseHeadBesideForeignEntry(); err != nil {
			return nil, err
		}
	}
	const perSecond, seconds = 20, 20
	var sent sync.WaitGroup
	var answered atomic.Int64
	for n := range perSecond * seconds { // requests for the plain service, at all daemons in turn
		sent.Go(func() {
			a := r.send(r.daemons[n%len(r.daemons)], request{method: "GET", path: "/cufi504/2f", id: fmt.Sprintf("%016x", n+1), key: harbourKey, deadline: time.Second})
			if a.status == 200 && a.whole {
				answered.Add(1)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	sent.Wait()
	r.say("%d of %d requests for the plain service were answered", answered.Load(), perSecond*seconds)
	machines := 0
	for _, d := range r.daemons {
		r.say("%s ended by itself %d times", d.name, d.ownEnds())
		if d.ownEnds() >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return []string{fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves three times or more, without a disruption there", machines, len(r.daemons))}, nil
	}
	return nil, nil
}

// storedServer is a server's entry in the store.
type storedServer struct {
	Metadata struct{ Name string }
	Spec     map[string]any
}

// group returns the group that the entry names, and the rank.
func (s *storedServer) group() (name string, rank float64) {
	g, _ := s.Spec["group"].(map[string]any)
	name, _ = g["name"].(string)
	rank, _ = g["rank"].(float64)
	return name, rank
}

// entries returns the entries of all servers.
func (r *rig) entries() ([]storedServer, error) {
	resp, err := http.Get("http://" + r.address + "/v1/objects/servers")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list struct{ Items []storedServer }
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list.Items, err
}

// loseHeadBesideForeignEntry makes the head of a group go dark for good. At the same time another writer
// begins to write an entry that is like that of the group's other member, under another name and with a service
// that no configuration names.
func (r *rig) loseHeadBesideForeignEntry() error {
	all, err := r.entries()
	if err != nil {
		return err
	}
	for _, member := range all {
		name, rank := member.group()
		if name == "" || rank != 1 {
			continue
		}
		for _, head := range all {
			if n, rank := head.group(); n != name || rank != 0 {
				continue
			}
			r.note("trouble: engine %s goes dark for good", head.Metadata.Name)
			r.servers[head.Metadata.Name].goDark()
			member.Spec["service"] = "svc-unnamed"
			text, _ := json.Marshal(member.Spec)
			r.note("trouble: another writer's entry servers/other-%s, from now on: %s", member.Metadata.Name, text)
			go func() {
				for seq := 1; ; seq++ {
					member.Spec["seq"] = seq
					r.store.Put("servers/other-"+member.Metadata.Name, member.Spec)
					time.Sleep(heartbeat)
				}
			}()
			return nil
		}
	}
	return fmt.Errorf("no group of two")
}

// lastTenant: the operator takes the only key away, and with it the only tenant. Without the trouble it takes
// the key away and keeps the tenant.
func lastTenant(r *rig) ([]string, error) {
	const revoke = 5 * time.Second
	r.configure(1, "one tenant with one key", config(harbourKey))
	if err := r.startSite(2, 2, serverOptions{WorkMS: 10}); err != nil {
		return nil, err
	}
	n := 0
	call := func(d *daemon, key string) (string, answer) {
		n++
		id := fmt.Sprintf("%016x", n)
		return id, r.send(d, request{method: "POST", path: "/puxa403/2f", id: id, key: key, body: "one crew is called", deadline: time.Second})
	}
	for _, d := range r.daemons {
		if err := await(10*time.Second, d.name+" serves the key", func() bool { _, a := call(d, harbourKey); return a.status == 200 }); err != nil {
			return nil, err
		}
	}
	removed := config()
	if r.trouble {
		removed["tenants"] = []any{}
	}
	acknowledged := r.configure(2, fmt.Sprintf("the key is removed; tenants: %v", removed["tenants"]), removed)
	time.Sleep(revoke + time.Second)
	var broken []string
	for range 20 {
		for _, d := range r.daemons {
			sentAt := time.Now()
			id, a := call(d, harbourKey)
			if runs := r.runsOf(id); len(runs) > 0 {
				broken = append(broken, fmt.Sprintf("CONFIG: request %s to %s, sent %.1f s after the removal of its key was acknowledged, ran at %s (answer %d)", id, d.name, sentAt.Sub(acknowledged).Seconds(), runs[0].server, a.status))
			}
			id, a = call(d, "neverheldbyanyconfig")
			if runs := r.runsOf(id); len(runs) > 0 {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s to %s, with a key that no configuration held, ran at %s (answer %d)", id, d.name, runs[0].server, a.status))
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return broken, nil
}
