// Package settings reads and checks a daemon's INI settings file. Every key has
// a default except the names and addresses; docs/operations/settings.md lists
// them all with their units.
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

// Daemon says who and where this daemon is.
type Daemon struct {
	Name   string // unique; keeps its slot over restarts
	Place  string
	Domain string // failure domain
}

// Listen holds the three listening addresses, IP:port each.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
}

// Platform says where the platform's object API is.
type Platform struct {
	URL     string
	Timeout time.Duration
}

// Limits bound what callers may ask for.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	Deadline       time.Duration // of one request, end to end
	ReadTimeout    time.Duration // a caller must send its request within
	WriteTimeout   time.Duration // a caller must take each write within
	Attempts       int           // upstream tries of one request
	RetryBudget    float64       // retries allowed per first try
}

// Timing holds the periods and ages of the control protocols.
type Timing struct {
	SyncInterval   time.Duration // between exchanges with each peer
	ProbeInterval  time.Duration // between probes of each engine
	EvidenceAge    time.Duration // oldest readiness evidence to dispatch on
	AdmissionLease time.Duration // oldest evidence that the revision is current
	OrderTimeout   time.Duration // longest an order to an engine may be in flight
	DutyLease      time.Duration // oldest proof of holding a domain to order on
	DrainDeadline  time.Duration // longest a planned stop waits for requests
	ReportLag      time.Duration // oldest an engine's load report may be
	ForgetAfter    time.Duration // silent daemons leave the registry after
}

// Planner weighs the two measures against each other.
type Planner struct {
	Policy          string
	DowntimeWeight  float64
	StrandedWeight  float64
	SparesPerDomain int // VMs kept free for repair
}

// Routing selects the routing policy.
type Routing struct {
	Policy string
	Subset int // replicas considered for one prefix
}

// Ledger sizes the record of requests that may not be repeated.
type Ledger struct {
	Shards       int
	MaxEntries   int // per shard
	Retention    time.Duration
	MaxBodyBytes int // of a recorded answer
}

// Operators authorises operators by the digest of their token.
type Operators struct {
	ChangeTokenSHA256 string // empty: no token needed (loopback only)
	ReadTokenSHA256   string
}

// Log selects the log level.
type Log struct {
	Level string
}

// Load reads and checks a settings file; the error holds every finding.
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

// Parse reads settings from text and reports findings in list.
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
		Daemon:    daemon(section("daemon")),
		Listen:    listen(section("listen")),
		Platform:  platformSection(section("platform")),
		Limits:    limits(section("limits")),
		Timing:    timing(section("timing")),
		Planner:   planner(section("planner")),
		Routing:   routing(section("routing")),
		Ledger:    ledgerSection(section("ledger")),
		Operators: operators(section("operators")),
		Log:       logSection(section("log")),
	}
	for _, name := range file.INI.SectionStrings() {
		if !known[name] {
			file.Add(name, "", "unknown section")
		}
	}
	checkTogether(file, s)
	return s
}

func daemon(s *findings.Section) Daemon {
	defer s.Done()
	return Daemon{Name: s.Required("name"), Place: s.Required("place"), Domain: s.Required("domain")}
}

func listen(s *findings.Section) Listen {
	defer s.Done()
	return Listen{Callers: address(s, "callers"), Operators: address(s, "operators"), Peers: address(s, "peers")}
}

// address reads an IP:port; names are refused because nothing here resolves them.
func address(s *findings.Section, key string) string {
	v := s.Required(key)
	if _, err := netip.ParseAddrPort(v); v != "" && err != nil {
		s.Fault(key, "%q is not IP:PORT", v)
	}
	return v
}

func platformSection(s *findings.Section) Platform {
	defer s.Done()
	return Platform{URL: s.Required("url"), Timeout: s.Duration("timeout", time.Second, 10*time.Millisecond, time.Minute)}
}

func limits(s *findings.Section) Limits {
	defer s.Done()
	return Limits{
		MaxBodyBytes:   s.Int("max_body_bytes", 4<<20, 1024, 64<<20),
		MaxHeaderBytes: s.Int("max_header_bytes", 16<<10, 1024, 1<<20),
		Deadline:       s.Duration("deadline", 2*time.Minute, time.Second, time.Hour),
		ReadTimeout:    s.Duration("read_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		WriteTimeout:   s.Duration("write_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		Attempts:       s.Int("attempts", 3, 1, 10),
		RetryBudget:    s.Float("retry_budget", 0.1, 0, 1),
	}
}

func timing(s *findings.Section) Timing {
	defer s.Done()
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

func planner(s *findings.Section) Planner {
	defer s.Done()
	return Planner{
		Policy:          s.OneOf("policy", "repair", "repair", "rebuild"),
		DowntimeWeight:  s.Float("group_downtime_weight", 1, 0, 1000),
		StrandedWeight:  s.Float("stranded_accelerators_weight", 1, 0, 1000),
		SparesPerDomain: s.Int("spares_per_domain", 0, 0, 1000),
	}
}

func routing(s *findings.Section) Routing {
	defer s.Done()
	return Routing{
		Policy: s.OneOf("policy", "affinity", "affinity", "random", "round-robin", "least"),
		Subset: s.Int("subset", 4, 1, 64),
	}
}

func ledgerSection(s *findings.Section) Ledger {
	defer s.Done()
	return Ledger{
		Shards:       s.Int("shards", 8, 1, 256),
		MaxEntries:   s.Int("max_entries", 4000, 10, 100_000),
		Retention:    s.Duration("retention", time.Hour, time.Second, 30*24*time.Hour),
		MaxBodyBytes: s.Int("max_body_bytes", 4096, 0, 64<<10),
	}
}

func operators(s *findings.Section) Operators {
	defer s.Done()
	return Operators{ChangeTokenSHA256: digest(s, "change_token_sha256"), ReadTokenSHA256: digest(s, "read_token_sha256")}
}

func digest(s *findings.Section, key string) string {
	v := s.String(key, "")
	if raw, err := hex.DecodeString(v); err != nil || (v != "" && len(raw) != 32) {
		s.Fault(key, "is not a hex SHA-256 digest")
	}
	return v
}

func logSection(s *findings.Section) Log {
	defer s.Done()
	return Log{Level: s.OneOf("level", "info", "debug", "info", "warn", "error")}
}

// checkTogether reports keys that are each in range but don't fit each other.
func checkTogether(file *findings.File, s Settings) {
	if s.Timing.EvidenceAge < 3*s.Timing.ProbeInterval {
		file.Add("timing", "evidence_age", "must be at least three probe intervals (%s)", 3*s.Timing.ProbeInterval)
	}
	if s.Timing.AdmissionLease < 3*s.Timing.SyncInterval {
		file.Add("timing", "admission_lease", "must be at least three sync intervals (%s)", 3*s.Timing.SyncInterval)
	}
	if s.Operators.ChangeTokenSHA256 == "" && s.Listen.Operators != "" {
		if ap, err := netip.ParseAddrPort(s.Listen.Operators); err == nil && !ap.Addr().IsLoopback() {
			file.Add("operators", "change_token_sha256", "is required unless operators listen on loopback")
		}
	}
}
