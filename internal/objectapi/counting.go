package objectapi

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// NewCountedStore returns a store that counts every call by kind in the metric
// pearlanding_platform_calls_total{kind}. A watch counts as one call.
func NewCountedStore(inner Store, set *metrics.Set) Store {
	counter := func(kind string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`pearlanding_platform_calls_total{kind=%q}`, kind))
	}
	return &countedStore{inner: inner, get: counter("get"), list: counter("list"), create: counter("create"),
		update: counter("update"), del: counter("delete"), watch: counter("watch"), vms: counter("vms")}
}

type countedStore struct {
	inner                                      Store
	get, list, create, update, del, watch, vms *metrics.Counter
}

func (c *countedStore) Get(ctx context.Context, key string) (Object, error) {
	c.get.Inc()
	return c.inner.Get(ctx, key)
}

func (c *countedStore) List(ctx context.Context, prefix string) ([]Object, error) {
	c.list.Inc()
	return c.inner.List(ctx, prefix)
}

func (c *countedStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	c.create.Inc()
	return c.inner.Create(ctx, key, value)
}

func (c *countedStore) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	c.update.Inc()
	return c.inner.Update(ctx, key, version, value)
}

func (c *countedStore) Delete(ctx context.Context, key string, version uint64) error {
	c.del.Inc()
	return c.inner.Delete(ctx, key, version)
}

func (c *countedStore) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	c.watch.Inc()
	return c.inner.Watch(ctx, prefix, after)
}

func (c *countedStore) VMs(ctx context.Context, domain string) ([]VM, error) {
	c.vms.Inc()
	return c.inner.VMs(ctx, domain)
}
