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

// Time limits of the front command.
const (
	// settingsPollInterval is how often the settings file is checked for a change, as it may
	// change without a signal.
	settingsPollInterval = time.Second
	// logCloseTimeout limits the writing of the last log lines at exit.
	logCloseTimeout = 200 * time.Millisecond
)

func addFront(app *kingpin.Application, run action) {
	cmd := app.Command("front", "Run one daemon on the users' platform, configured by the platform's settings file.")
	file := cmd.Flag("settings", "Settings file.").Envar(platform.SettingsEnv).Required().String()
	metricsAddress := cmd.Flag("metrics", "Address on which /metrics is served.").String()
	level := cmd.Flag("log-level", "Log level: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	cmd.Action(run(func(ctx context.Context) int { return runFront(ctx, *file, *metricsAddress, *level) }))
}

func runFront(ctx context.Context, file, metricsAddress, level string) int {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return fail(err)
	}
	out := decisionlog.NewWriter(os.Stdout)
	defer out.Close(logCloseTimeout)
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
	d := &front.Daemon{Settings: func() front.Settings { return *current.Load() }, Platform: platform.Adapters(s), Log: log,
		Metrics: set, MetricsAddress: metricsAddress}
	if err := d.Run(ctx); err != nil {
		log.Error("ended", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// watchSettings reloads the settings file after SIGHUP or when it has changed. Changed
// addresses of listeners take effect only after a restart.
func watchSettings(ctx context.Context, file string, current *atomic.Pointer[front.Settings], log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastChange := modTime(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		at := modTime(file)
		if !signalled && at.Equal(lastChange) {
			continue
		}
		lastChange = at
		s, err := platform.LoadSettings(file)
		if err != nil {
			log.Error("settings not reloaded; the previous settings stay in force", zap.Error(err))
			continue
		}
		current.Store(&s)
		log.Info("settings reloaded", zap.Bool("signal", signalled))
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
