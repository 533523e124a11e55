// Package settings reads and checks a daemon's INI settings file. Every key has a default
// except names and addresses; docs/operations/settings.md lists all keys with their units.
package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"pearlanding/internal/findings"
)

// Settings is one daemon's checked configuration.
type Settings struct {
	Daemon    Daemon
	Listen    Listen
	Platform  Platform
	Limits    Limits
	Timing    Timing
	Planner   Planner
	Routing   Routing
	Ledger    Ledger
	Operators Operators
	Log       Log
}

// Daemon holds the name and location of this daemon.
type Daemon struct {
	Name   string // unique; the name of its slot, which survives restarts
	Place  string
	Domain string // failure domain
}

// Listen holds the listening addresses, each IP:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
}

// Platform holds the URL of the platform's object API and the timeout of each call.
type Platform struct {
	URL     string
	Timeout time.Duration
}

// Limits holds the limits on callers' requests.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int           // of callers; also limited by the descriptors of the process
	MemoryMB       int           // of the process
	Deadline       time.Duration // of one request from arrival to the end of its answer
	ReadTimeout    time.Duration // longest a caller may take to send its request
	WriteTimeout   time.Duration // longest a caller may take to receive one write
	Attempts       int           // most sends of one request to upstreams
	RetryBudget    float64       // retries allowed per request, as a ratio
}

// Timing holds the intervals, timeouts and maximum ages of the control protocols.
type Timing struct {
	SyncInterval   time.Duration // between rounds of sync calls to peers
	ProbeInterval  time.Duration // between probes of each engine
	EvidenceAge    time.Duration // oldest evidence of readiness on which a request is dispatched
	AdmissionLease time.Duration // oldest evidence of a current revision on which requests are admitted
	OrderTimeout   time.Duration // timeout of an order to an engine
	DutyLease      time.Duration // oldest proof of holding a domain on which orders are sent
	DrainDeadline  time.Duration // longest a stopping daemon waits for requests in progress
	ReportLag      time.Duration // greatest age of the load in an engine's report
	ForgetAfter    time.Duration // silence after which a daemon is removed from the registry
}

// Planner holds the placement policy. The weights apply to the time that groups are down
// and to accelerators in no serving group.
type Planner struct {
	Policy          string // repair or rebuild
	DowntimeWeight  float64
	StrandedWeight  float64
	SparesPerDomain int // VMs kept free to replace failed members
}

// Routing holds the routing policy.
type Routing struct {
	Policy string // affinity, random, round-robin or least
	Subset int    // replicas considered for one prompt prefix
}

// Ledger holds the limits of the ledger of at-most-once requests.
type Ledger struct {
	Shards       int
	MaxEntries   int // per shard
	Retention    time.Duration
	MaxBodyBytes int // of a recorded answer
}

// Operators holds the SHA-256 digests, in hex, of the operators' tokens.
type Operators struct {
	ChangeTokenSHA256 string // empty: no token needed (loopback only)
	ReadTokenSHA256   string
}

// Log holds the log level.
type Log struct {
	Level string
}

// Load reads and checks a settings file. The error is a *findings.Error with all findings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var list findings.List
		list.Add(findings.Finding{File: path, Message: err.Error()})
		return Settings{}, list.Err()
	}
	var list findings.List
	s := Parse(path, data, &list)
	return s, list.Err()
}

// Parse parses and checks settings and adds its findings to list. name stands for the file
// in findings.
func Parse(name string, data []byte, list *findings.List) Settings {
	file := findings.Parse(name, data, list)
	if file == nil {
		return Settings{}
	}
	known := map[string]bool{"DEFAULT": true}
	section := func(name string) *findings.Section {
		known[name] = true
		return file.Section(name)
	}
	s := Settings{
		Daemon:    daemonSection(section("daemon")),
		Listen:    listenSection(section("listen")),
		Platform:  platformSection(section("platform")),
		Limits:    limitsSection(section("limits")),
		Timing:    timingSection(section("timing")),
		Planner:   plannerSection(section("planner")),
		Routing:   routingSection(section("routing")),
		Ledger:    ledgerSection(section("ledger")),
		Operators: operatorsSection(section("operators")),
		Log:       logSection(section("log")),
	}
	for _, name := range file.INI.SectionStrings() {
		if !known[name] {
			file.Addf(name, "", "unknown section")
		}
	}
	checkCombinations(file, s)
	return s
}

func daemonSection(s *findings.Section) Daemon {
	defer s.ReportUnknownKeys()
	return Daemon{Name: s.Required("name"), Place: s.Required("place"), Domain: s.Required("domain")}
}

func listenSection(s *findings.Section) Listen {
	defer s.ReportUnknownKeys()
	return Listen{Callers: address(s, "callers"), Operators: address(s, "operators"), Peers: address(s, "peers")}
}

// address reads an IP:port. Host names are refused because nothing here resolves them.
func address(s *findings.Section, key string) string {
	v := s.Required(key)
	if _, err := netip.ParseAddrPort(v); v != "" && err != nil {
		s.Addf(key, "%q is not IP:PORT", v)
	}
	return v
}

func platformSection(s *findings.Section) Platform {
	defer s.ReportUnknownKeys()
	return Platform{URL: s.Required("url"), Timeout: s.Duration("timeout", time.Second, 10*time.Millisecond, time.Minute)}
}

func limitsSection(s *findings.Section) Limits {
	defer s.ReportUnknownKeys()
	return Limits{
		MaxBodyBytes:   s.Int("max_body_bytes", 4<<20, 1024, 64<<20),
		MaxHeaderBytes: s.Int("max_header_bytes", 16<<10, 1024, 1<<20),
		MaxConnections: s.Int("max_connections", 4096, 1, 1<<20),
		MemoryMB:       s.Int("memory_mb", 512, 64, 1<<20),
		Deadline:       s.Duration("deadline", 2*time.Minute, time.Second, time.Hour),
		ReadTimeout:    s.Duration("read_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		WriteTimeout:   s.Duration("write_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		Attempts:       s.Int("attempts", 3, 1, 10),
		RetryBudget:    s.Float("retry_budget", 0.1, 0, 1),
	}
}

func timingSection(s *findings.Section) Timing {
	defer s.ReportUnknownKeys()
	const low, high = 20 * time.Millisecond, time.Hour
	return Timing{
		SyncInterval:   s.Duration("sync_interval", 250*time.Millisecond, low, high),
		ProbeInterval:  s.Duration("probe_interval", 250*time.Millisecond, low, high),
		EvidenceAge:    s.Duration("evidence_age", 1500*time.Millisecond, low, high),
		AdmissionLease: s.Duration("admission_lease", 2*time.Second, low, high),
		OrderTimeout:   s.Duration("order_timeout", 500*time.Millisecond, low, high),
		DutyLease:      s.Duration("duty_lease", 2*time.Second, low, high),
		DrainDeadline:  s.Duration("drain_deadline", 2*time.Minute, low, high),
		ReportLag:      s.Duration("report_lag", time.Second, 0, high),
		ForgetAfter:    s.Duration("forget_after", 10*time.Minute, low, 24*time.Hour),
	}
}

func plannerSection(s *findings.Section) Planner {
	defer s.ReportUnknownKeys()
	return Planner{
		Policy:          s.OneOf("policy", "repair", "repair", "rebuild"),
		DowntimeWeight:  s.Float("group_downtime_weight", 1, 0, 1000),
		StrandedWeight:  s.Float("stranded_accelerators_weight", 1, 0, 1000),
		SparesPerDomain: s.Int("spares_per_domain", 0, 0, 1000),
	}
}

func routingSection(s *findings.Section) Routing {
	defer s.ReportUnknownKeys()
	return Routing{
		Policy: s.OneOf("policy", "affinity", "affinity", "random", "round-robin", "least"),
		Subset: s.Int("subset", 4, 1, 64),
	}
}

func ledgerSection(s *findings.Section) Ledger {
	defer s.ReportUnknownKeys()
	return Ledger{
		Shards:       s.Int("shards", 8, 1, 256),
		MaxEntries:   s.Int("max_entries", 4000, 10, 100_000),
		Retention:    s.Duration("retention", time.Hour, time.Second, 30*24*time.Hour),
		MaxBodyBytes: s.Int("max_body_bytes", 4096, 0, 64<<10),
	}
}

func operatorsSection(s *findings.Section) Operators {
	defer s.ReportUnknownKeys()
	return Operators{ChangeTokenSHA256: digest(s, "change_token_sha256"), ReadTokenSHA256: digest(s, "read_token_sha256")}
}

func digest(s *findings.Section, key string) string {
	v := s.String(key, "")
	if raw, err := hex.DecodeString(v); err != nil || (v != "" && len(raw) != 32) {
		s.Addf(key, "is not a hex SHA-256 digest")
	}
	return v
}

func logSection(s *findings.Section) Log {
	defer s.ReportUnknownKeys()
	return Log{Level: s.OneOf("level", "info", "debug", "info", "warn", "error")}
}

// checkCombinations reports values that are each in range but don't fit together.
func checkCombinations(file *findings.File, s Settings) {
	if s.Timing.EvidenceAge < 3*s.Timing.ProbeInterval {
		file.Addf("timing", "evidence_age", "must be at least three probe intervals (%s)", 3*s.Timing.ProbeInterval)
	}
	if s.Timing.AdmissionLease < 3*s.Timing.SyncInterval {
		file.Addf("timing", "admission_lease", "must be at least three sync intervals (%s)", 3*s.Timing.SyncInterval)
	}
	if s.Operators.ChangeTokenSHA256 == "" && s.Listen.Operators != "" {
		if ap, err := netip.ParseAddrPort(s.Listen.Operators); err == nil && !ap.Addr().IsLoopback() {
			file.Addf("operators", "change_token_sha256", "is required unless operators listen on loopback")
		}
	}
}
