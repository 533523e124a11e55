package catalog

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/findings"
)

const digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const validConfig = `[template t]
model = m
version = 1
vms = 4
replicas = 2
places = a, b

[service s]
instances = a@127.0.0.1:1
at_most_once = POST

[workspace w]
token_sha256 = ` + digest + `
places = b
services = s

[workspace w model alias]
template = t
version = 2
replicas = 3
`

func parse(t *testing.T, text string) (*Edit, []findings.Finding) {
	t.Helper()
	var list findings.List
	e := NewEdit()
	e.Parse("f.ini", []byte(text), &list)
	e.Check(e.Doc, &list)
	return e, list.Items()
}

func TestAllFindingsAreReportedWithTheirLine(t *testing.T) {
	for _, tc := range []struct {
		name, from, to string
		line           int
		message        string
	}{
		{"unknown key", "vms = 4", "vmss = 4", 4, "unknown key"},
		{"range", "vms = 4", "vms = 400", 4, "not a whole number from 1 to 64"},
		{"twice", "vms = 4", "vms = 4\nvms = 5", 5, "stands twice, first in line 4"},
		{"section", "[service s]", "[servant s]", 8, "unknown section"},
		{"no template", "template = t", "template = u", 18, "no template u"},
		{"no place in common", "places = b", "places = c", 18, "no place that the workspace permits"},
		{"address", "a@127.0.0.1:1", "a@host:1", 9, "is not PLACE@IP:PORT"},
		{"digest", digest, "short", 13, "not the hex SHA-256"},
		{"method", "POST", "SEND", 10, "not an HTTP method"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, found := parse(t, strings.Replace(validConfig, tc.from, tc.to, 1))
			must.SliceNotEmpty(t, found)
			reported := false
			for _, f := range found {
				reported = reported || (f.Line == tc.line && strings.Contains(f.Message, tc.message))
			}
			must.True(t, reported, must.Sprint(found))
		})
	}
	_, found := parse(t, validConfig)
	must.SliceEmpty(t, found)
}

func TestEachTemplateVersionHasAPool(t *testing.T) {
	e, _ := parse(t, validConfig)
	pools := e.Doc.Pools()
	must.SliceLen(t, 2, pools)
	must.Eq(t, "t@1", pools[0].Name)
	must.Eq(t, "t@2", pools[1].Name)
	must.Eq(t, 3, pools[1].Replicas)
	pool, _, ok := e.Doc.PoolFor(e.Doc.Workspaces["w"], "alias")
	must.True(t, ok)
	must.Eq(t, "t@2", pool)
	_, _, ok = e.Doc.PoolFor(e.Doc.Workspaces["w"], "other")
	must.False(t, ok)
}

// The command "get" prints an entry in the form that the command "apply" reads. The
// printed revision lets "apply" detect that the entry was changed in the meantime.
func TestRenderedEntryCanBeAppliedAgain(t *testing.T) {
	e, _ := parse(t, validConfig)
	doc, conflicts, changed := e.Merge(NewDoc(), 7)
	must.True(t, changed)
	must.SliceEmpty(t, conflicts)
	for _, ref := range e.Refs() {
		text, ok := doc.Render(ref)
		must.True(t, ok)
		reparsed := NewEdit()
		var list findings.List
		reparsed.Parse("again.ini", []byte(text), &list)
		must.True(t, list.Empty(), must.Sprint(list.Items()))
		must.Eq(t, uint64(7), reparsed.Expect[ref])
		_, conflicts, changed = reparsed.Merge(doc, 8)
		must.SliceEmpty(t, conflicts)
		must.False(t, changed, must.Sprint(ref, text))
	}
}

func TestConflictingEditIsReported(t *testing.T) {
	e, _ := parse(t, validConfig)
	doc, _, _ := e.Merge(NewDoc(), 7)
	text, _ := doc.Render(Ref{KindTemplate, "t"})
	edit := func(to string) *Edit {
		out := NewEdit()
		out.Parse("edit.ini", []byte(strings.Replace(text, "vms = 4", to, 1)), &findings.List{})
		return out
	}
	doc, conflicts, _ := edit("vms = 8").Merge(doc, 8)
	must.SliceEmpty(t, conflicts)
	_, conflicts, _ = edit("vms = 2").Merge(doc, 9)
	must.Eq(t, []Conflict{{Ref: Ref{KindTemplate, "t"}, Expect: 7, Current: 8}}, conflicts)
	_, conflict := doc.Remove(Ref{KindTemplate, "t"}, 7)
	must.NotNil(t, conflict)
}

// FuzzParse checks that Parse, Check and Merge don't panic on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("[template \x00]\nvms=\n=\n[["))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list findings.List
		e := NewEdit()
		e.Parse("f.ini", data, &list)
		e.Check(e.Doc, &list)
		e.Merge(NewDoc(), 1)
	})
}
