package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/decisionlog"
	"pearlanding/internal/front"
	"pearlanding/platform"
)

// Figures of the front command.
const (
	// settingsPoll is how often the settings file is looked at: it may change
	// without a signal.
	settingsPoll = time.Second
	// logCloseWait bounds the writing of the last log lines.
	logCloseWait = 200 * time.Millisecond
)

func addFront(app *kingpin.Application, run action) {
	cmd := app.Command("front", "Run one daemon on the users' platform, configured by the platform's settings file.")
	file := cmd.Flag("settings", "Settings file.").Envar(platform.SettingsEnv).Required().String()
	metricsAddress := cmd.Flag("metrics", "Address that serves /metrics.").String()
	level := cmd.Flag("log-level", "debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	cmd.Action(run(func(ctx context.Context) int { return runFront(ctx, *file, *metricsAddress, *level) }))
}

func runFront(ctx context.Context, file, metricsAddress, level string) int {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return fail(err)
	}
	out := decisionlog.NewWriter(os.Stdout)
	defer out.Close(logCloseWait)
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return fail(err)
	}
	log := decisionlog.Logger(out, parsed)
	var current atomic.Pointer[front.Settings]
	current.Store(&s)
	go watchSettings(ctx, file, &current, log)
	set := metrics.NewSet()
	set.GetOrCreateGauge("pearlanding_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	d := &front.Daemon{Settings: func() front.Settings { return *current.Load() }, Outside: platform.Outside(s), Log: log,
		Metrics: set, MetricsAddress: metricsAddress}
	if err := d.Run(ctx); err != nil {
		log.Error("ended", zap.Error(err))
		return exitRefused
	}
	return exitOK
}

// watchSettings takes a changed settings file in, after SIGHUP or without it.
// Addresses of listeners stay as they were at the start.
func watchSettings(ctx context.Context, file string, current *atomic.Pointer[front.Settings], log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	changed := modified(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		at := modified(file)
		if !signalled && at.Equal(changed) {
			continue
		}
		changed = at
		s, err := platform.LoadSettings(file)
		if err != nil {
			log.Error("settings not reloaded; the last ones stay", zap.Error(err))
			continue
		}
		current.Store(&s)
		log.Info("settings reloaded", zap.Bool("signal", signalled))
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
