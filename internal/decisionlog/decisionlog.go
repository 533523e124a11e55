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
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed when the buffered lines are written
}

// NewWriter returns a writer whose lines a background goroutine writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// maxBatch is the size in bytes at which no more lines are added to a batch.
const maxBatch = 32 << 10

// run writes lines to out until the writer is closed, then writes the lines left in the buffer.
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

// write writes a line and those that wait in the buffer in a single call, adding lines until the
// batch reaches maxBatch.
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

// Write implements io.Writer. It reports success even if it drops the line.
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

// Logger returns a logger that writes lines of the given level and above to w, as JSON.
func Logger(w *Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}
