// Package logging creates the loggers of a daemon and writes their JSON lines without
// blocking the daemon.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Part is the value of the "part" field, which names the area of the system that wrote the
// log line. kernel.Part is a different concept: a component that a daemon starts and stops.
type Part string

// Areas of the system.
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

// New returns a logger that writes lines of JSON to w, down to the given level.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&jsonFormatter{})
	return logger
}

// For returns a logger whose lines name the part and the instance.
func For(logger *logrus.Logger, part Part, instance string) *logrus.Entry {
	return logger.WithFields(logrus.Fields{"part": string(part), "instance": instance})
}

// Discard returns a logger that writes nothing, for components without a logger.
func Discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}
