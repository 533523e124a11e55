package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/pause"
)

// Times of logging that this process was not scheduled.
const (
	latenessInterval = time.Second
	minLateness      = 100 * time.Millisecond // lateness within latenessInterval that is logged
)

// logLateness logs for how long this process was not scheduled, where requests may be affected.
func (d *Daemon) logLateness(ctx context.Context) {
	for logged := time.Duration(0); ctx.Err() == nil; {
		pause.For(ctx, latenessInterval)
		late := d.runClock.Lateness()
		if late-logged >= minLateness {
			d.Log.Warn("process not scheduled", zap.Duration("for", late-logged), zap.Duration("so_far", late))
		}
		logged = late
	}
}

// logSuspensions logs that the machine was suspended when the clock detects it: at the next
// request or at the next reading of the clock by one of the daemon's loops.
func (d *Daemon) logSuspensions(ctx context.Context) {
	logged := time.Duration(0)
	for {
		resumed := d.Clock.Resumed()
		if total := d.Clock.Suspended(); total > logged {
			d.Log.Warn("machine was suspended", zap.String("decision", "renew_proofs"), zap.Duration("for", total-logged))
			logged = total
		}
		select {
		case <-ctx.Done():
			return
		case <-resumed:
		}
	}
}
