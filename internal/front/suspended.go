package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/pause"
)

// Times of telling that this process was not scheduled.
const (
	latenessEvery = time.Second
	latenessLeast = 100 * time.Millisecond // in latenessEvery
)

// tellLateness logs for how long this process was not scheduled, where it may matter to requests.
func (d *Daemon) tellLateness(ctx context.Context) {
	for told := time.Duration(0); ctx.Err() == nil; {
		pause.For(ctx, latenessEvery)
		late := d.run.Late()
		if late-told >= latenessLeast {
			d.Log.Warn("process not scheduled", zap.Duration("for", late-told), zap.Duration("so_far", late))
		}
		told = late
	}
}

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
