package decisionlog

import (
	"bytes"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against a logging goroutine that blocks on a pipe that nobody reads.
func TestUnreadPipeDoesNotBlock(t *testing.T) {
	r, w, err := os.Pipe()
	must.NoError(t, err)
	defer r.Close()
	out := NewWriter(w)
	log := Logger(out, zapcore.InfoLevel)
	for range 5 * bufferLines {
		log.Info("request", zap.String("id", "0123456789abcdef"), zap.Int("status", 200), zap.String("reason", "a reason of some length"))
	}
	must.Positive(t, out.Dropped())
	w.Close()
	out.Close(time.Second)
}

func TestLinesArriveWholeAndInOrder(t *testing.T) {
	var buf bytes.Buffer
	out := NewWriter(&buf)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := out.Write([]byte(line))
		must.NoError(t, err)
	}
	out.Close(time.Minute)
	must.Eq(t, "one\ntwo\nthree\n", buf.String())
	must.Eq(t, 0, out.Dropped())
}

func BenchmarkRequestLine(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	must.NoError(b, err)
	out := NewWriter(null)
	log := Logger(out, zapcore.InfoLevel)
	for b.Loop() {
		log.Info("request", zap.String("id", "0123456789abcdef"), zap.Int("status", 503), zap.String("reason", "no_replica"), zap.Int64("took_ms", 4))
	}
	out.Close(time.Second)
}

// Guards against a race, and at worst a panic, between Close and handlers that outlive the grace
// period of a stop and still log: Close used to close the channel of waiting lines. The race
// detector reported it once in a soak of 50 seeds (seed 5043), between gateway.finish and
// Writer.Close.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 2 * bufferLines {
				_, err := w.Write([]byte("x\n"))
				must.NoError(t, err)
			}
		})
	}
	w.Close(time.Second)
	writers.Wait()
	_, err := w.Write([]byte("late\n"))
	must.NoError(t, err)
	must.Positive(t, w.Dropped())
	must.StrNotContains(t, out.String(), "late")
	w.Close(time.Second) // a second Close has no effect
}
