// Package logging makes the loggers of the system's parts.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Part is the fixed prefix of a part's log lines.
type Part string

// Parts of the system.
const (
	Daemon     Part = "daemon"
	Gateway    Part = "gateway"
	Routing    Part = "routing"
	Placement  Part = "placement"
	Membership Part = "membership"
	Config     Part = "config"
	Store      Part = "store"
	Peers      Part = "peers"
	Operator   Part = "operator"
)

// New makes a logger that writes JSON lines to w at the given level.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&lines{})
	return logger
}

// For returns a logger for one part of one instance.
func For(logger *logrus.Logger, part Part, instance string) *logrus.Entry {
	return logger.WithFields(logrus.Fields{"part": string(part), "instance": instance})
}

// Discard makes a logger for parts that were given none.
func Discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}
