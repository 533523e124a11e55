package quarantine

import (
	"iter"
	"slices"
	"sync"
)

// Traits are the properties of a request any of which may make it crash instances.
type Traits struct {
	Content Digest // of the whole content
	Model   string
	Parts   []Part // of the prompt, in order of digest, without duplicates, at most maxParts
}

// Part is a part of a prompt that other requests may share. Parts of different workspaces or models
// differ: an id means nothing outside its workspace, whose callers choose it.
type Part struct {
	Digest Digest
	ID     string
}

// Label names a trait for operators. Only parts of prompts have names.
type Label struct {
	Model string `json:"model,omitempty"`
	Part  string `json:"part,omitempty"` // id of the part; empty: the trait is a whole content
}

// maxParts bounds the parts of one request. Of a longer prompt the same parts are kept on every daemon
// and for every request that has them: those with the smallest digests.
const maxParts = 32

// partField takes the place of the method in the digest of a part. It is no valid method, so that no
// content has the digest of a part.
const partField = "prompt part"

// sharedParts returns the parts of the prompt that other requests may share.
func (c Content) sharedParts() (parts []Part) {
	for _, id := range c.Parts {
		parts = append(parts, Part{hashFields(nil, c.Workspace, partField, c.Model, id), id})
	}
	slices.SortFunc(parts, func(a, b Part) int { return a.Digest.compare(b.Digest) })
	parts = slices.CompactFunc(parts, func(a, b Part) bool { return a.Digest == b.Digest })
	return parts[:min(len(parts), maxParts)]
}

// Traits returns the traits of a request with this content.
func (c Content) Traits() Traits { return Traits{c.Digest(), c.Model, c.sharedParts()} }

// all returns the traits with their labels.
func (t Traits) all() iter.Seq2[Digest, Label] {
	return func(yield func(Digest, Label) bool) {
		if !yield(t.Content, Label{}) {
			return
		}
		for _, p := range t.Parts {
			if !yield(p.Digest, Label{t.Model, p.ID}) {
				return
			}
		}
	}
}

// without returns all traits but one, in order of digest.
func (t Traits) without(d Digest) (out []Digest) {
	for other := range t.all() {
		if other != d {
			out = append(out, other)
		}
	}
	slices.SortFunc(out, Digest.compare)
	return out
}

// hasAll reports whether each of the digests is one of the traits.
func (t Traits) hasAll(digests []Digest) bool {
	for _, d := range digests {
		if d != t.Content && !slices.ContainsFunc(t.Parts, func(p Part) bool { return p.Digest == d }) {
			return false
		}
	}
	return true
}

// ShortParts returns the first bytes of the parts' digests in hexadecimal, for log lines.
func (t Traits) ShortParts() (out []string) {
	for _, p := range t.Parts {
		out = append(out, p.Digest.Short())
	}
	return out
}

// Request computes the traits of a request when they are needed. It is safe for concurrent use.
type Request struct {
	Workspace string
	parts     func() []Part
	traits    func() Traits
}

// NewRequest returns a request with a content, which must not be changed any more.
func NewRequest(c Content) *Request {
	parts := sync.OnceValue(c.sharedParts)
	return &Request{c.Workspace, parts, sync.OnceValue(func() Traits { return Traits{c.Digest(), c.Model, parts()} })}
}

// Traits returns the request's traits.
func (r *Request) Traits() Traits { return r.traits() }
