package catalog

import (
	"fmt"
	"strings"
)

// Render returns one entry with its revision in the INI form that Parse reads, so that it
// can be edited and applied again; false if there is no such entry.
func (d Doc) Render(ref Ref) (string, bool) {
	var b strings.Builder
	writeKey := func(name string, value any) { fmt.Fprintf(&b, "%s = %v\n", name, value) }
	writeList := func(name string, values []string) {
		if len(values) > 0 {
			writeKey(name, strings.Join(values, ", "))
		}
	}
	fmt.Fprintf(&b, "[%s %s]\n", ref.Kind, ref.Name)
	switch ref.Kind {
	case KindTemplate:
		t, ok := d.Templates[ref.Name]
		if !ok {
			return "", false
		}
		writeKey("revision", t.ModRevision)
		writeKey("model", t.Model)
		writeKey("version", t.Version)
		writeKey("vms", t.VMs)
		writeKey("replicas", t.Replicas)
		writeList("places", t.Places)
		writeKey("weight_gb", float64(t.WeightMB)/1000)
		writeKey("priority", t.Priority)
	case KindWorkspace:
		w, ok := d.Workspaces[ref.Name]
		if !ok {
			return "", false
		}
		writeKey("revision", w.ModRevision)
		writeKey("token_sha256", w.TokenSHA256)
		writeList("places", w.Places)
		writeKey("class", w.Class)
		writeKey("max_concurrent", w.MaxConcurrent)
		writeKey("rate_per_second", w.RatePerSecond)
		writeList("services", w.Services)
		for _, alias := range sortedKeys(w.Models) {
			renderModel(&b, ref.Name, alias, w.Models[alias])
		}
	case KindService:
		s, ok := d.Services[ref.Name]
		if !ok {
			return "", false
		}
		writeKey("revision", s.ModRevision)
		var instances []string
		for _, i := range s.Instances {
			instances = append(instances, i.Place+"@"+i.Address)
		}
		writeList("instances", instances)
		writeList("at_most_once", s.AtMostOnceMethods)
	default:
		return "", false
	}
	return b.String(), true
}

func renderModel(b *strings.Builder, workspace, alias string, use ModelUse) {
	fmt.Fprintf(b, "\n[workspace %s model %s]\ntemplate = %s\n", workspace, alias, use.Template)
	if use.Adapter != "" {
		fmt.Fprintf(b, "adapter = %s\n", use.Adapter)
	}
	if use.Version != "" {
		fmt.Fprintf(b, "version = %s\nreplicas = %d\n", use.Version, use.Replicas)
	}
}
