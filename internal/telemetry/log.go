package telemetry

import (
	"context"
	"io"
	"log/slog"
)

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// LogSettings are the settings of logs.
type LogSettings struct {
	// Format defaults to LogText.
	Format LogFormat
	// Level is debug, info, warn or error; default info.
	Level string
}

// NewLogger returns a logger that writes to w. Errors: ErrLogSettings.
func NewLogger(w io.Writer, settings LogSettings) (*slog.Logger, error) {
	var level slog.Level
	if settings.Level != "" {
		if err := level.UnmarshalText([]byte(settings.Level)); err != nil {
			return nil, newError(ErrLogSettings, "level %q", settings.Level)
		}
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessageOnly}
	switch settings.Format {
	case LogText, "":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case LogJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, newError(ErrLogSettings, "format %q", settings.Format)
}

// errorMessageOnly replaces an error by its message, so that log lines do not contain the source locations
// that errors record.
func errorMessageOnly(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// ComponentLogger returns a logger for a component, such as "link". Its messages begin with the
// component's name and a colon.
func ComponentLogger(log *slog.Logger, name string) *slog.Logger {
	return slog.New(&prefixHandler{Handler: log.Handler(), prefix: name + ": "})
}

// prefixHandler prepends a prefix to messages.
type prefixHandler struct {
	slog.Handler
	prefix string
}

func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
