// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For blocks until d has elapsed or ctx is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
