package embedded

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearlanding/internal/engine"
)

// The benchmarks compare requests through a daemon with requests sent directly to the
// stand-in. Everything runs in one process, so only ratios and differences are meaningful.
// docs/MEASUREMENTS.md quotes them.

// benchSystem starts one daemon with a group of one VM.
func benchSystem(b *testing.B, slots int, tokenTime time.Duration) *System {
	b.Helper()
	return startBench(b, Options{Daemons: 1, VMs: 1, GroupSize: 1, Slots: slots, TokenTime: tokenTime})
}

// startBench starts a system, waits until it serves, and stops it at the end of the
// benchmark.
func startBench(b *testing.B, o Options) *System {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Start(ctx, o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cancel()
		for _, d := range s.Daemons {
			<-d.Done
		}
	})
	waitCtx, stop := context.WithTimeout(ctx, testTimeout)
	defer stop()
	if err := s.WaitServing(waitCtx); err != nil {
		b.Fatal(err)
	}
	return s
}

// benchClient sends requests with the same headers to one URL.
type benchClient struct {
	client *http.Client
	url    string
	header http.Header
}

func newBenchClient(url string, header http.Header) *benchClient {
	return &benchClient{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}, url: url, header: header}
}

// benchClients returns a client that sends through the daemon and one that sends directly to
// rank 0.
func benchClients(s *System) (through, direct *benchClient) {
	t := s.Daemons[0].Control().Snapshot().Targets[Pool][0]
	through = newBenchClient("http://"+s.Daemons[0].Settings.Listen.Callers+chatPath, http.Header{"Authorization": {"Bearer " + Token}})
	direct = newBenchClient("http://"+t.Address+chatPath, http.Header{
		engine.HeaderGroup: {t.Group}, engine.HeaderEpoch: {strconv.FormatUint(t.Epoch, 10)}, engine.HeaderRequestID: {"direct"}})
	return through, direct
}

func (c *benchClient) open(body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = c.header
	return c.client.Do(req)
}

func (c *benchClient) call(body string) error {
	resp, err := c.open(body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// openLoop sends n requests at a fixed rate, whether or not earlier ones were answered. It
// returns the sorted times, each measured from when the request was due, and the number of
// failures.
func openLoop(c *benchClient, n int, perSecond float64, body string) ([]time.Duration, int64) {
	times := make([]time.Duration, n)
	var failed atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(due) - 2*time.Millisecond)
		for time.Now().Before(due) { // a timer alone can be late by up to a millisecond
			runtime.Gosched()
		}
		wg.Go(func() {
			if c.call(body) != nil {
				failed.Add(1)
			}
			times[i] = time.Since(due)
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times, failed.Load()
}

func percentile(sorted []time.Duration, p float64) float64 {
	return float64(sorted[int(float64(len(sorted)-1)*p)].Microseconds()) / 1000
}

// BenchmarkAddedLatency measures the latency that a daemon adds at 1,000 short requests a
// second.
func BenchmarkAddedLatency(b *testing.B) {
	s := benchSystem(b, 4096, time.Nanosecond)
	through, direct := benchClients(s)
	body := chat("latency", 1, false)
	openLoop(through, 500, 1000, body)
	openLoop(direct, 500, 1000, body)
	b.ResetTimer()
	for range b.N {
		d, failedDirect := openLoop(direct, 5000, 1000, body)
		t, failedThrough := openLoop(through, 5000, 1000, body)
		b.ReportMetric(percentile(d, 0.5), "direct-p50-ms")
		b.ReportMetric(percentile(d, 0.99), "direct-p99-ms")
		b.ReportMetric(percentile(t, 0.5)-percentile(d, 0.5), "added-p50-ms")
		b.ReportMetric(percentile(t, 0.99)-percentile(d, 0.99), "added-p99-ms")
		b.ReportMetric(float64(failedDirect+failedThrough), "failed")
	}
}

// BenchmarkThroughput measures requests a second with 64 concurrent callers.
func BenchmarkThroughput(b *testing.B) {
	s := benchSystem(b, 4096, time.Nanosecond)
	through, direct := benchClients(s)
	body := chat("throughput", 1, false)
	for name, c := range map[string]*benchClient{"through": through, "direct": direct} {
		b.Run(name, func(b *testing.B) {
			var failed atomic.Int64
			b.SetParallelism(64 / runtime.GOMAXPROCS(0))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if c.call(body) != nil {
						failed.Add(1)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// BenchmarkTokenDelay measures the delay that a daemon adds to streamed tokens. The stand-in
// writes tokens at a fixed pace, so the gaps between arrivals are compared.
func BenchmarkTokenDelay(b *testing.B) {
	const tokens, gap = 400, 5 * time.Millisecond
	s := benchSystem(b, 64, gap)
	through, direct := benchClients(s)
	body := chat("tokens", tokens, true)
	measureGaps := func(c *benchClient) []time.Duration {
		resp, err := c.open(body)
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		var arrivals []time.Time
		buf := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			if n > 0 {
				arrivals = append(arrivals, time.Now())
			}
			if err != nil {
				break
			}
		}
		var gaps []time.Duration
		for i := 1; i < len(arrivals); i++ {
			gaps = append(gaps, arrivals[i].Sub(arrivals[i-1]))
		}
		slices.Sort(gaps)
		return gaps
	}
	b.ResetTimer()
	for range b.N {
		d, t := measureGaps(direct), measureGaps(through)
		b.ReportMetric(float64(len(t))/float64(len(d)), "reads-ratio")
		b.ReportMetric(percentile(d, 0.5), "direct-gap-p50-ms")
		b.ReportMetric(percentile(t, 0.5)-percentile(d, 0.5), "added-gap-p50-ms")
		b.ReportMetric(percentile(t, 0.99)-percentile(d, 0.99), "added-gap-p99-ms")
	}
}

// BenchmarkStreamMemory measures the process's memory for each open stream, with the caller
// and the stand-in included; the difference between through and direct is the daemon's.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 1000
	s := benchSystem(b, 2*streams, 100*time.Millisecond)
	through, direct := benchClients(s)
	body := chat("memory", 1000, true)
	perStream := func(c *benchClient) float64 {
		before := memoryInUse()
		open := make([]*http.Response, streams)
		var wg sync.WaitGroup
		for i := range open {
			wg.Go(func() {
				resp, err := c.open(body)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Error(err, resp)
					return
				}
				_, _ = io.ReadFull(resp.Body, make([]byte, 16))
				open[i] = resp
			})
		}
		wg.Wait()
		if b.Failed() {
			b.FailNow()
		}
		after := memoryInUse()
		for _, resp := range open {
			resp.Body.Close()
		}
		c.client.CloseIdleConnections()
		return float64(after-before) / streams / 1024
	}
	b.ResetTimer()
	for range b.N {
		d := perStream(direct)
		t := perStream(through)
		b.ReportMetric(d, "direct-KB/stream")
		b.ReportMetric(t-d, "daemon-KB/stream")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkAccept measures the time from an operator's change until it is in force at every
// daemon.
func BenchmarkAccept(b *testing.B) {
	for _, daemons := range []int{3, 9, 18} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			ctx := context.Background()
			s := startBench(b, Options{Daemons: daemons})
			var times []time.Duration
			b.ResetTimer()
			for i := range b.N {
				client := s.Daemons[i%daemons].Operator()
				text, err := client.Entry(ctx, ref("template", "pearl-despacho"))
				if err != nil {
					b.Fatal(err)
				}
				at := strings.Index(text, "priority = ") + len("priority = ")
				edited := text[:at] + strconv.Itoa((i+1)%9) + text[at+1:]
				start := time.Now()
				result, err := client.Apply(ctx, "edit.ini", []byte(edited))
				if err != nil || result.Verdict != "accepted" {
					b.Fatal(err, result)
				}
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(percentile(times, 0.5), "p50-ms")
			b.ReportMetric(percentile(times, 0.99), "p99-ms")
		})
	}
}

// BenchmarkPlatformCalls measures the platform calls a second of an idle system. They must
// not grow with the number of daemons, which a test of package control checks; the rate
// depends on the load of the machine.
func BenchmarkPlatformCalls(b *testing.B) {
	const window = 4 * time.Second
	for _, daemons := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			s := startBench(b, Options{Daemons: daemons})
			for range b.N {
				before := s.Platform.Calls()
				time.Sleep(window)
				for kind, n := range s.Platform.Calls() {
					if n > before[kind] {
						b.ReportMetric(float64(n-before[kind])/window.Seconds(), kind+"/s")
					}
				}
			}
		})
	}
}
