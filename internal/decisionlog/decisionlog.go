// Package decisionlog writes log lines without ever blocking the caller: lines wait in a
// bounded buffer, and are dropped and counted when it is full. It also reads saved logs and
// collects the lines that explain what happened to one request.
package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferLines is how many lines may wait for a slow reader: about 1 MB, which a busy daemon
// writes in some seconds.
const bufferLines = 2048

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	lines     chan []byte // never closed: handlers may outlive the grace period of a stop and still log
	dropped   atomic.Uint64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// NewWriter returns a writer whose lines a background goroutine writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// maxBatch is the size in bytes at which a batch of lines is written out.
const maxBatch = 32 << 10

// run writes lines until the writer is closed, then those left in the buffer.
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

// write writes a line together with those waiting in the buffer, until the batch reaches
// maxBatch.
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
	_, _ = out.Write(batch) // a failed log write cannot be reported anywhere
}

// Write implements io.Writer. It reports success also for a dropped line.
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

// Sync implements zapcore.WriteSyncer. It does nothing, as lines are written out as soon as
// the reader takes them.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the lines left in the buffer and returns after at most the timeout. Lines logged
// afterwards are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Logger returns a logger that writes JSON lines to w.
func Logger(w *Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}
