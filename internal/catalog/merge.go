package catalog

import "reflect"

// Conflict reports that an entry is not at the revision that an edit was based on.
type Conflict struct {
	Ref     Ref    `json:"ref"`
	Expect  uint64 `json:"expect"`  // revision that the edit was based on; 0: none
	Current uint64 `json:"current"` // current revision of the entry; 0: no entry
	By      string `json:"by"`      // author of the current revision, if still recorded
}

// Merge applies the edit's entries to doc at the new revision. It returns the new
// configuration, the conflicts, and whether anything changed. If there are conflicts,
// nothing must be written. An edit of an existing entry must name the entry's current
// revision unless it leaves the entry unchanged.
func (e *Edit) Merge(doc Doc, revision uint64) (next Doc, conflicts []Conflict, changed bool) {
	next = doc.Clone()
	for _, ref := range e.Refs() {
		current, exists := doc.modRevision(ref)
		if exists && e.matches(doc, ref) {
			continue
		}
		if e.Expect[ref] != current {
			conflicts = append(conflicts, Conflict{Ref: ref, Expect: e.Expect[ref], Current: current})
			continue
		}
		changed = true
		e.put(next, ref, revision)
	}
	return next, conflicts, changed
}

// modRevision returns the revision that last modified an entry and whether the entry
// exists; the revision is 0 if it does not.
func (d Doc) modRevision(ref Ref) (uint64, bool) {
	switch ref.Kind {
	case KindTemplate:
		t, ok := d.Templates[ref.Name]
		return t.ModRevision, ok
	case KindWorkspace:
		w, ok := d.Workspaces[ref.Name]
		return w.ModRevision, ok
	default:
		s, ok := d.Services[ref.Name]
		return s.ModRevision, ok
	}
}

// matches reports whether the edit leaves an entry of doc unchanged.
func (e *Edit) matches(doc Doc, ref Ref) bool {
	merged := doc.Clone()
	current, _ := doc.modRevision(ref)
	e.put(merged, ref, current)
	switch ref.Kind {
	case KindTemplate:
		return reflect.DeepEqual(merged.Templates[ref.Name], doc.Templates[ref.Name])
	case KindWorkspace:
		return reflect.DeepEqual(merged.Workspaces[ref.Name], doc.Workspaces[ref.Name])
	default:
		return reflect.DeepEqual(merged.Services[ref.Name], doc.Services[ref.Name])
	}
}

// put stores an entry of the edit in doc, modified at revision.
func (e *Edit) put(doc Doc, ref Ref, revision uint64) {
	switch ref.Kind {
	case KindTemplate:
		t := e.Doc.Templates[ref.Name]
		t.ModRevision = revision
		doc.Templates[ref.Name] = t
	case KindWorkspace:
		w := e.Doc.Workspaces[ref.Name]
		w.ModRevision = revision
		doc.Workspaces[ref.Name] = w
	case KindService:
		s := e.Doc.Services[ref.Name]
		s.ModRevision = revision
		doc.Services[ref.Name] = s
	}
}

// Remove returns the configuration without one entry, or a conflict if the entry does
// not exist or expect is not its current revision.
func (d Doc) Remove(ref Ref, expect uint64) (Doc, *Conflict) {
	current, exists := d.modRevision(ref)
	if !exists || current != expect {
		return d, &Conflict{Ref: ref, Expect: expect, Current: current}
	}
	next := d.Clone()
	switch ref.Kind {
	case KindTemplate:
		delete(next.Templates, ref.Name)
	case KindWorkspace:
		delete(next.Workspaces, ref.Name)
	case KindService:
		delete(next.Services, ref.Name)
	}
	return next, nil
}
