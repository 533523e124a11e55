package quarantine

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDigestDistinguishesContents(t *testing.T) {
	base := Content{Workspace: "w", Method: "POST", Target: "/a?q=1", Model: "m", Body: []byte("body")}
	seen := map[Digest]bool{base.Digest(): true}
	for _, change := range []func(*Content){
		func(c *Content) { c.Workspace = "wP" },
		func(c *Content) { c.Method = "PUT" },
		func(c *Content) { c.Target = "/a?q=2" },
		func(c *Content) { c.Model = "" },
		func(c *Content) { c.Body = nil },
		func(c *Content) { c.Workspace, c.Method = "wP", "OST" }, // same bytes in a row, split differently
	} {
		other := base
		change(&other)
		must.False(t, seen[other.Digest()])
		seen[other.Digest()] = true
	}
	same := base
	same.Body = bytes.Clone(base.Body)
	must.Eq(t, base.Digest(), same.Digest())
}

func TestDigestTextRoundTrip(t *testing.T) {
	d := Content{Target: "/x"}.Digest()
	text, err := d.MarshalText()
	must.NoError(t, err)
	var parsed Digest
	must.NoError(t, parsed.UnmarshalText(text))
	must.Eq(t, d, parsed)
	must.Error(t, parsed.UnmarshalText(text[:30]))
	must.Error(t, parsed.UnmarshalText([]byte("zz"+string(text[2:]))))
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		c := Content{Workspace: "workspace", Method: "POST", Target: "/route/x", Model: "model", Body: make([]byte, size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				c.Digest()
			}
		})
	}
}
