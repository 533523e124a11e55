package objectapi_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/standin/platformfake"
)

// TestClientDistinguishesWriteOutcomes guards against a client that mixes up a refused write,
// a conflict, a lost answer and an unreachable platform: each calls for another next step.
func TestClientDistinguishesWriteOutcomes(t *testing.T) {
	store := platformfake.New(0, 0)
	srv := httptest.NewServer(store.Handler())
	client := objectapi.NewClient(srv.URL, time.Second)
	ctx := context.Background()

	_, err := client.Get(ctx, "a/b")
	must.ErrorIs(t, err, objectapi.ErrNotFound)
	version, err := client.Create(ctx, "a/b", []byte(`{"n":1}`))
	must.NoError(t, err)
	_, err = client.Create(ctx, "a/b", []byte(`{}`))
	must.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = client.Update(ctx, "a/b", version+1, []byte(`{}`))
	must.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = client.Update(ctx, "a/b", version, []byte(strings.Repeat("x", objectapi.MaxValueBytes+1)))
	must.ErrorIs(t, err, objectapi.ErrTooLarge)

	store.SetFaults(platformfake.Faults{LoseAnswers: 1})
	_, err = client.Update(ctx, "a/b", version, []byte(`{"n":2}`))
	must.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
	obj, err := client.Get(ctx, "a/b")
	must.NoError(t, err)
	must.Eq(t, `{"n":2}`, string(obj.Value)) // it had been applied

	store.SetFaults(platformfake.Faults{Outage: true})
	_, err = client.Update(ctx, "a/b", obj.Version, []byte(`{}`))
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
	store.SetFaults(platformfake.Faults{})

	list, err := client.Watch(ctx, "a/", version)
	must.NoError(t, err)
	must.SliceLen(t, 1, list)
	must.NoError(t, client.Delete(ctx, "a/b", obj.Version))
	list, err = client.List(ctx, "a/")
	must.NoError(t, err)
	must.SliceEmpty(t, list)

	// A new client has no idle connection. On an idle connection that the server has closed,
	// the outcome would really be unknown.
	srv.Close()
	_, err = objectapi.NewClient(srv.URL, time.Second).Create(ctx, "a/c", []byte(`{}`))
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
}
