package front

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// tellSuspensions logs that the machine was suspended, once it is noticed: with the next
// request or the next of the daemon's own steps.
func (d *Daemon) tellSuspensions(ctx context.Context) {
	told := time.Duration(0)
	for {
		resumed := d.Clock.Resumed()
		if all := d.Clock.Suspended(); all > told {
			d.Log.Warn("machine was suspended", zap.String("decision", "renew_proofs"), zap.Duration("for", all-told))
			told = all
		}
		select {
		case <-ctx.Done():
			return
		case <-resumed:
		}
	}
}
