package objectapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against listings that can't be read because of one odd object in them.
func TestOddObjectCostsOnlyItself(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	bodies := map[string]string{
		"/v1/list":  `[{"key":"a","version":1,"value":{}},{"key":"b","version":2,"value":` + deep + `},{"key":3},7,{"key":"c","version":3,"value":{}}]`,
		"/v1/vms":   `[{"name":"a"},{"name":"b","accelerators":1e999},` + deep + `,{"name":"c"}]`,
		"/v1/watch": "null",
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(bodies[r.URL.Path])) }))
	defer server.Close()
	c := NewClient(server.URL, time.Second)
	objects, err := c.List(t.Context(), "")
	must.NoError(t, err)
	must.Len(t, 3, objects)
	must.Eq(t, "{}", string(objects[2].Value))
	must.Eq(t, 2, objects[1].Version)
	must.Len(t, 0, objects[1].Value)
	vms, err := c.VMs(t.Context(), "d")
	must.NoError(t, err)
	must.Eq(t, []VM{{Name: "a"}, {Name: "c"}}, vms)
	changed, err := c.Watch(t.Context(), "", 0)
	must.NoError(t, err)
	must.SliceEmpty(t, changed)
}
