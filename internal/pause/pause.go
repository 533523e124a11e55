// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For blocks until d has elapsed or ctx is done, whichever comes first. It returns at once if d is not
// positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
