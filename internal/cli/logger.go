package cli

import (
	"io"
	"log/slog"

	"github.com/mangoweir/mangoweir/internal/settings"
)

// logWriter is where logs go.
type logWriter = io.Writer

// newLogger returns the logger that the settings ask for.
func newLogger(st settings.Log, w logWriter) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(st.Level))
	opts := &slog.HandlerOptions{Level: level}
	if st.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
