// Package decisionlog writes log lines without ever holding up who logs: lines
// wait in a bounded buffer and are dropped, and counted, when it is full.
package decisionlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferLines is how many lines may wait for a slow reader: some seconds of a
// busy daemon, about 1 MB.
const bufferLines = 2048

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter starts writing to out in the background.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// maxBatch bounds how many bytes go out in one write.
const maxBatch = 32 << 10

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for more := true; more && len(batch) < maxBatch; {
			select {
			case next, ok := <-w.lines:
				batch, more = append(batch, next...), ok
			default:
				more = false
			}
		}
		_, _ = out.Write(batch) // there is nowhere to report a failed log write
	}
}

// Write implements io.Writer; it always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines leave as soon as the reader takes them.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for at most the given time. Nothing may be logged
// afterwards.
func (w *Writer) Close(wait time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

// Logger returns a JSON logger over the writer.
func Logger(w *Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}
