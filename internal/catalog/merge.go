package catalog

import "reflect"

// Conflict tells that an entry was changed by somebody else first.
type Conflict struct {
	Ref     Ref    `json:"ref"`
	Expect  uint64 `json:"expect"`  // the revision the editor had seen, 0: none
	Current uint64 `json:"current"` // the entry's revision now
	By      string `json:"by"`      // who made that revision, if still known
}

// Merge puts the edit's entries into doc under the new revision. It returns the
// new configuration, the conflicts (then nothing is to be written), and whether
// anything differs. An entry that exists needs its current revision in the
// edit, unless the edit would not change it.
func (e *Edit) Merge(doc Doc, revision uint64) (next Doc, conflicts []Conflict, changed bool) {
	next = doc.Clone()
	for _, ref := range e.Refs() {
		current, exists := doc.changedAt(ref)
		if exists && e.sameAs(doc, ref) {
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

// changedAt returns the revision that last changed an entry, 0 if there is none.
func (d Doc) changedAt(ref Ref) (uint64, bool) {
	switch ref.Kind {
	case KindTemplate:
		t, ok := d.Templates[ref.Name]
		return t.Changed, ok
	case KindWorkspace:
		w, ok := d.Workspaces[ref.Name]
		return w.Changed, ok
	default:
		s, ok := d.Services[ref.Name]
		return s.Changed, ok
	}
}

func (e *Edit) sameAs(doc Doc, ref Ref) bool {
	probe := doc.Clone()
	current, _ := doc.changedAt(ref)
	e.put(probe, ref, current)
	switch ref.Kind {
	case KindTemplate:
		return reflect.DeepEqual(probe.Templates[ref.Name], doc.Templates[ref.Name])
	case KindWorkspace:
		return reflect.DeepEqual(probe.Workspaces[ref.Name], doc.Workspaces[ref.Name])
	default:
		return reflect.DeepEqual(probe.Services[ref.Name], doc.Services[ref.Name])
	}
}

func (e *Edit) put(doc Doc, ref Ref, revision uint64) {
	switch ref.Kind {
	case KindTemplate:
		t := e.Doc.Templates[ref.Name]
		t.Changed = revision
		doc.Templates[ref.Name] = t
	case KindWorkspace:
		w := e.Doc.Workspaces[ref.Name]
		w.Changed = revision
		doc.Workspaces[ref.Name] = w
	case KindService:
		s := e.Doc.Services[ref.Name]
		s.Changed = revision
		doc.Services[ref.Name] = s
	}
}

// Remove takes one entry out if expect is its current revision.
func (d Doc) Remove(ref Ref, expect uint64) (Doc, *Conflict) {
	current, exists := d.changedAt(ref)
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
