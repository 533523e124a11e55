// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
