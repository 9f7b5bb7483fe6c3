// Package log configures structured logging. Programs log only changes of state and
// use counters for frequent events.
package log

import (
	"io"
	"log/slog"
)

// Settings are the logging flags, to be embedded in a program's settings.
type Settings struct {
	LogLevel  slog.Level `name:"log-level" env:"REDWINGLEDGE_LOG_LEVEL" default:"info" help:"Least level that is logged: debug, info, warn or error."`
	LogFormat string     `name:"log-format" env:"REDWINGLEDGE_LOG_FORMAT" default:"text" enum:"text,json" help:"Format of log lines: text or json."`
}

// New returns a logger with the given settings that writes to w.
func New(w io.Writer, settings Settings) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.LogLevel}
	if settings.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// Discard returns a logger that drops every line, for tests.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
