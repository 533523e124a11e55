// Package decisionlog writes log lines without ever holding up who logs: lines
// wait in a bounded buffer and are dropped, and counted, when it is full.
package decisionlog

import (
	"io"
	"sync"
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
	lines   chan []byte // never closed: handlers may outlive a stop's grace, and still log
	dropped atomic.Uint64
	ends    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewWriter starts writing to out in the background.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// maxBatch bounds how many bytes go out in one write.
const maxBatch = 32 << 10

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.write(out, <-w.lines)
			}
			return
		}
	}
}

// write writes a line, with those that wait behind it.
func (w *Writer) write(out io.Writer, line []byte) {
	batch := line
	for more := true; more && len(batch) < maxBatch; {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
		default:
			more = false
		}
	}
	_, _ = out.Write(batch) // there is nowhere to report a failed log write
}

// Write implements io.Writer; it always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
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

// Close writes what waits, for at most the given time. What is logged afterwards is
// dropped.
func (w *Writer) Close(wait time.Duration) {
	w.ends.Do(func() { close(w.closing) })
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
