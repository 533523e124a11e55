package catalog

import (
	"fmt"
	"strings"
)

// Render returns one entry with its revision in the INI form that Parse reads; false if
// there is no such entry.
func (d Doc) Render(ref Ref) (string, bool) {
	var b strings.Builder
	key := func(name string, value any) { fmt.Fprintf(&b, "%s = %v\n", name, value) }
	list := func(name string, values []string) {
		if len(values) > 0 {
			key(name, strings.Join(values, ", "))
		}
	}
	fmt.Fprintf(&b, "[%s %s]\n", ref.Kind, ref.Name)
	switch ref.Kind {
	case KindTemplate:
		t, ok := d.Templates[ref.Name]
		if !ok {
			return "", false
		}
		key("revision", t.Changed)
		key("model", t.Model)
		key("version", t.Version)
		key("vms", t.VMs)
		key("replicas", t.Replicas)
		list("places", t.Places)
		key("weight_gb", float64(t.WeightMB)/1000)
		key("priority", t.Priority)
	case KindWorkspace:
		w, ok := d.Workspaces[ref.Name]
		if !ok {
			return "", false
		}
		key("revision", w.Changed)
		key("token_sha256", w.TokenSHA256)
		list("places", w.Places)
		key("class", w.Class)
		key("max_concurrent", w.MaxConcurrent)
		key("rate_per_second", w.RatePerSecond)
		list("services", w.Services)
		for _, alias := range sortedKeys(w.Models) {
			renderModel(&b, ref.Name, alias, w.Models[alias])
		}
	case KindService:
		s, ok := d.Services[ref.Name]
		if !ok {
			return "", false
		}
		key("revision", s.Changed)
		var instances []string
		for _, i := range s.Instances {
			instances = append(instances, i.Place+"@"+i.Address)
		}
		list("instances", instances)
		list("at_most_once", s.OnceMethods)
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
