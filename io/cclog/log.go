// Package cclog builds the loggers of a process, one for each layer: node, caller or entry. It also has a writer that
// never blocks and a limit of the rate of log lines.
package cclog

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// ErrBadLevel reports an unknown log level.
var ErrBadLevel = errors.New("log level is none of debug, info, warn, error")

// Config configures the loggers of a process.
type Config struct {
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Format is text, json or logfmt.
	Format string
	// Layers overrides the level of single layers.
	Layers map[string]string
	// VM is added to each line.
	VM string
}

// New returns the logger of a layer. It fails with ErrBadLevel.
func New(cfg Config, layer string) (*log.Logger, error) {
	text := cfg.Level
	if own, ok := cfg.Layers[layer]; ok {
		text = own
	}
	level, err := log.ParseLevel(text)
	if err != nil {
		return nil, errors.Wrapf(ErrBadLevel, "layer %s: %q", layer, text)
	}
	l := log.NewWithOptions(cfg.Out, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: formatter(cfg.Format),
	})
	return l.With("Layer", layer, "VM", cfg.VM), nil
}

// formatter returns the formatter with the given name, logfmt by default.
func formatter(name string) log.Formatter {
	switch name {
	case "json":
		return log.JSONFormatter
	case "text":
		return log.TextFormatter
	}
	return log.LogfmtFormatter
}
