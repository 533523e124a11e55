package catalog

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"pearlanding/internal/findings"
)

// Upper limits of configured values.
const (
	MaxVMsPerReplica = 64
	MaxReplicas      = 4096 // of one pool
	MaxPriority      = 9
	maxWeightGB      = 10000
	maxConcurrent    = 1_000_000 // requests
	maxRate          = 1e6       // requests per second
)

// namePattern matches valid names of templates, workspaces, services and models.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Kind is the kind of a configuration entry.
type Kind string

// Kinds of entries.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
	KindService   Kind = "service"
)

// Ref identifies a configuration entry.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Edit is the parsed content of one or more INI files: entries to add or replace.
type Edit struct {
	Doc Doc
	// Expect holds the revisions that the edit was based on, for the entries with a
	// revision key.
	Expect map[Ref]uint64
	files  map[Ref]*findings.File // the file that each entry was read from
}

// NewEdit returns an empty edit.
func NewEdit() *Edit {
	return &Edit{Doc: NewDoc(), Expect: map[Ref]uint64{}, files: map[Ref]*findings.File{}}
}

// Refs lists the entries of the edit in a fixed order.
func (e *Edit) Refs() []Ref {
	var out []Ref
	for name := range e.Doc.Templates {
		out = append(out, Ref{KindTemplate, name})
	}
	for name := range e.Doc.Workspaces {
		out = append(out, Ref{KindWorkspace, name})
	}
	for name := range e.Doc.Services {
		out = append(out, Ref{KindService, name})
	}
	slices.SortFunc(out, func(a, b Ref) int { return strings.Compare(string(a.Kind)+a.Name, string(b.Kind)+b.Name) })
	return out
}

// Parse adds the entries of one INI file to the edit and its findings to list.
func (e *Edit) Parse(name string, data []byte, list *findings.List) {
	file := findings.Parse(name, data, list)
	if file == nil {
		return
	}
	var modelSections []string
	for _, section := range file.INI.SectionStrings() {
		words := strings.Fields(section)
		switch {
		case section == "DEFAULT":
			if keys := file.INI.Section("").KeyStrings(); len(keys) > 0 {
				file.Addf("", keys[0], "stands before any section")
			}
		case len(words) == 2 && words[0] == string(KindTemplate):
			e.parseTemplate(file, section, words[1])
		case len(words) == 2 && words[0] == string(KindWorkspace):
			e.parseWorkspace(file, section, words[1])
		case len(words) == 2 && words[0] == string(KindService):
			e.parseService(file, section, words[1])
		case len(words) == 4 && words[0] == string(KindWorkspace) && words[2] == "model":
			modelSections = append(modelSections, section)
		default:
			file.Addf(section, "", "unknown section; want [template NAME], [workspace NAME], [workspace NAME model ALIAS] or [service NAME]")
		}
	}
	// Models are parsed last because each is stored in a workspace of the same file.
	for _, section := range modelSections {
		words := strings.Fields(section)
		e.parseModel(file, section, words[1], words[3])
	}
}

// startEntry checks an entry's name, records the file and reads the optional revision
// that the edit is based on.
func (e *Edit) startEntry(file *findings.File, sec *findings.Section, ref Ref) {
	if !namePattern.MatchString(ref.Name) {
		sec.Addf("", "%q is not a name: lower-case letters, digits, dots, dashes, at most 63", ref.Name)
	}
	e.files[ref] = file
	if n := sec.Int("revision", 0, 0, 1<<53); n > 0 {
		e.Expect[ref] = uint64(n)
	}
}

func (e *Edit) parseTemplate(file *findings.File, section, name string) {
	s := file.Section(section)
	e.startEntry(file, s, Ref{KindTemplate, name})
	t := Template{
		Model: s.Required("model"), Version: s.Required("version"),
		VMs: s.Int("vms", 1, 1, MaxVMsPerReplica), Replicas: s.Int("replicas", 1, 0, MaxReplicas),
		Places:   s.Strings("places"),
		WeightMB: int(s.Float("weight_gb", 0, 0, maxWeightGB) * 1000),
		Priority: s.Int("priority", 5, 0, MaxPriority),
	}
	if len(t.Places) == 0 {
		s.Addf("places", "is required: at least one place")
	}
	s.ReportUnknownKeys()
	e.Doc.Templates[name] = t
}

func (e *Edit) parseWorkspace(file *findings.File, section, name string) {
	s := file.Section(section)
	e.startEntry(file, s, Ref{KindWorkspace, name})
	w := Workspace{
		TokenSHA256: s.Required("token_sha256"), Places: s.Strings("places"),
		Class:         Class(s.OneOf("class", string(ClassNormal), string(ClassUrgent), string(ClassNormal), string(ClassPatient))),
		MaxConcurrent: s.Int("max_concurrent", 100, 1, maxConcurrent),
		RatePerSecond: s.Float("rate_per_second", 0, 0, maxRate),
		Services:      s.Strings("services"), Models: map[string]ModelUse{},
	}
	if raw, err := hex.DecodeString(w.TokenSHA256); w.TokenSHA256 != "" && (err != nil || len(raw) != 32) {
		s.Addf("token_sha256", "is not the hex SHA-256 digest of a token")
	}
	if len(w.Places) == 0 {
		s.Addf("places", "is required: at least one place")
	}
	s.ReportUnknownKeys()
	e.Doc.Workspaces[name] = w
}

func (e *Edit) parseModel(file *findings.File, section, workspace, alias string) {
	s := file.Section(section)
	w, ok := e.Doc.Workspaces[workspace]
	if !ok {
		s.Addf("", "workspace %q is not in this file", workspace)
		return
	}
	if !namePattern.MatchString(alias) {
		s.Addf("", "%q is not a model name", alias)
	}
	w.Models[alias] = ModelUse{
		Template: s.Required("template"), Adapter: s.String("adapter", ""),
		Version: s.String("version", ""), Replicas: s.Int("replicas", 0, 0, MaxReplicas),
	}
	s.ReportUnknownKeys()
}

func (e *Edit) parseService(file *findings.File, section, name string) {
	s := file.Section(section)
	e.startEntry(file, s, Ref{KindService, name})
	var svc Service
	for _, item := range s.Strings("instances") {
		place, address, ok := strings.Cut(item, "@")
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			s.Addf("instances", "%q is not PLACE@IP:PORT", item)
			continue
		}
		svc.Instances = append(svc.Instances, Instance{Place: place, Address: address})
	}
	if len(svc.Instances) == 0 {
		s.Addf("instances", "is required: at least one PLACE@IP:PORT")
	}
	for _, m := range s.Strings("at_most_once") {
		if !slices.Contains([]string{"GET", "POST", "PUT", "PATCH", "DELETE"}, m) {
			s.Addf("at_most_once", "%q is not an HTTP method", m)
		}
		svc.AtMostOnceMethods = append(svc.AtMostOnceMethods, m)
	}
	s.ReportUnknownKeys()
	e.Doc.Services[name] = svc
}

// Check adds findings on references between the entries of doc and on tokens used by
// two workspaces. A finding names the file and line if the entry is part of the edit.
func (e *Edit) Check(doc Doc, list *findings.List) {
	workspaceByDigest := map[string]string{}
	for _, name := range sortedKeys(doc.Workspaces) {
		ws := doc.Workspaces[name]
		e.checkWorkspace(doc, name, ws, list)
		if other, taken := workspaceByDigest[ws.TokenSHA256]; taken {
			e.report(list, Ref{KindWorkspace, name}, "workspace "+name, "token_sha256", "same token as workspace "+other)
		}
		workspaceByDigest[ws.TokenSHA256] = name
	}
}

func (e *Edit) checkWorkspace(doc Doc, name string, ws Workspace, list *findings.List) {
	ref := Ref{KindWorkspace, name}
	for _, svc := range ws.Services {
		if _, ok := doc.Services[svc]; !ok {
			e.report(list, ref, "workspace "+name, "services", "no service "+svc)
		}
	}
	for _, alias := range sortedKeys(ws.Models) {
		section := "workspace " + name + " model " + alias
		t, ok := doc.Templates[ws.Models[alias].Template]
		if !ok {
			e.report(list, ref, section, "template", "no template "+ws.Models[alias].Template)
			continue
		}
		if !slices.ContainsFunc(t.Places, func(p string) bool { return slices.Contains(ws.Places, p) }) {
			e.report(list, ref, section, "template", "template "+ws.Models[alias].Template+" stands in no place that the workspace permits")
		}
	}
}

// report adds a finding on an entry, with its file and line if the edit contains it.
func (e *Edit) report(list *findings.List, ref Ref, section, key, message string) {
	if file := e.files[ref]; file != nil {
		file.Addf(section, key, "%s", message)
		return
	}
	list.Add(findings.Finding{File: "current configuration", Section: section, Key: key, Message: message})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
