package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/catalog"
	"pearlanding/internal/control"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin"
	"pearlanding/internal/standin/enginefake"
)

// patience bounds every wait of these tests; reaching it is a failure, and no
// test's verdict depends on how much of it is used.
const patience = 30 * time.Second

// start brings a system up that serves, and takes it down with the test.
func start(t *testing.T, o Options) *System {
	t.Helper()
	if o.Log == nil {
		o.Log = logOnFailure(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Start(ctx, o)
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		for _, d := range s.Daemons {
			<-d.Done
		}
	})
	waitCtx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	must.NoError(t, s.WaitServing(waitCtx))
	return s
}

// await waits for a snapshot of a daemon that satisfies ok.
func await(t *testing.T, d *Running, what string, ok func(*control.Snapshot) bool) *control.Snapshot {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	snap, err := d.Control().Await(ctx, ok)
	must.NoError(t, err, must.Sprint(what))
	return snap
}

// reply is a caller's view of an answer.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error // reading the body failed: the answer was cut
	problem problem.Problem
}

// send makes one caller's request through a daemon.
func send(d *Running, path, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.Unmarshal(data, &r.problem)
	}
	return r
}

const chatPath = "/v1/chat/completions"

// chat is a request for n tokens.
func chat(prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, Model, stream, n, prompt)
}

// answerTo is the right answer to a chat with one message.
func answerTo(prompt string, n int) string { return enginefake.Answer("\n"+prompt, n) }

// lead returns the VM of rank 0 of the only serving group.
func lead(t *testing.T, s *System) *standin.VM {
	t.Helper()
	snap := s.Daemons[0].Control().Snapshot()
	must.SliceNotEmpty(t, snap.Targets[Pool])
	return vmAt(t, s, snap.Targets[Pool][0].Address)
}

func vmAt(t *testing.T, s *System, address string) *standin.VM {
	t.Helper()
	for _, vm := range s.VMs {
		if vm.Row.Address == address {
			return vm
		}
	}
	t.Fatalf("no VM at %s", address)
	return nil
}

// judge asserts from the engines' own records that no partly assembled group
// ever began to serve.
func judge(t *testing.T, s *System) {
	t.Helper()
	for _, vm := range s.VMs {
		for _, r := range vm.Engine.Served() {
			must.False(t, r.Partial && r.Complete, must.Sprint("partly assembled group served", vm.Row.Name, r))
		}
	}
}

func ref(kind, name string) catalog.Ref { return catalog.Ref{Kind: catalog.Kind(kind), Name: name} }

// logOnFailure returns a logger whose lines are printed if the test fails.
func logOnFailure(t *testing.T) *zap.Logger {
	var mu sync.Mutex
	var lines bytes.Buffer
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		if t.Failed() {
			t.Log(lines.String())
		}
	})
	write := writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return lines.Write(p)
	})
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(write), zap.InfoLevel))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
