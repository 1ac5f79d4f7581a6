// Package explain tells the story of one request from the logs of all instances: what was
// decided about it, in order of time, what was known to be wrong around it, and its cause
// of failure in one sentence.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"
)

const (
	// contextBefore is how long before a request's first line other lines may explain it.
	contextBefore = 6 * time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// messageEnded is the message of the line that tells how a request ended.
const messageEnded = "Ended"

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Part     string
	Message  string
	// Request is the id of the request that the line is about; empty for all others.
	Request string
	// Server, Ref and Model name what the line is about.
	Server, Ref, Model string
	// Code, Verdict, Reason and Error are what the line says of an outcome.
	Code, Verdict, Reason, Error string
	Attempts, Status             int
	Waited                       time.Duration
}

// raw is a line as it is written.
type raw struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Server   string    `json:"server"`
	Ref      string    `json:"ref"`
	Model    string    `json:"model"`
	Code     string    `json:"code"`
	Verdict  string    `json:"verdict"`
	Reason   string    `json:"reason"`
	Error    string    `json:"error"`
	Attempts int       `json:"attempts"`
	Status   int       `json:"status"`
	WaitedMS int64     `json:"waited_ms"`
}

// Parse reads one line. Whatever stands before the JSON, as a collector's prefix, is
// skipped; a line without JSON is not ok.
func Parse(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var r raw
	if err := json.Unmarshal(text[start:], &r); err != nil {
		return Line{}, false
	}
	return Line{
		Time: r.Time, Instance: r.Instance, Part: r.Part, Message: r.Message, Request: r.Request,
		Server: r.Server, Ref: r.Ref, Model: r.Model, Code: r.Code, Verdict: r.Verdict,
		Reason: r.Reason, Error: r.Error, Attempts: r.Attempts, Status: r.Status,
		Waited: time.Duration(r.WaitedMS) * time.Millisecond,
	}, true
}

// Story is what the logs tell of one request.
type Story struct {
	ID string
	// Lines are about the request, Context about servers and models that it met.
	Lines, Context []Line
}

// Open opens a log anew. It is called twice for each log.
type Open func() (io.ReadCloser, error)

// Tell reads all logs and gathers the story of a request.
func Tell(id string, logs []Open) (*Story, error) {
	s := &Story{ID: id}
	err := each(logs, func(l Line) {
		if l.Request == id {
			s.Lines = append(s.Lines, l)
		}
	})
	if err != nil || len(s.Lines) == 0 {
		return s, err
	}
	byTime(s.Lines)
	about := s.subjects()
	err = each(logs, func(l Line) {
		if l.Request == "" && about.concerns(l) {
			s.Context = append(s.Context, l)
		}
	})
	byTime(s.Context)
	return s, err
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// each reads all lines of all logs.
func each(logs []Open, take func(Line)) error {
	for _, open := range logs {
		if err := eachOf(open, take); err != nil {
			return err
		}
	}
	return nil
}

func eachOf(open Open, take func(Line)) error {
	log, err := open()
	if err != nil {
		return fmt.Errorf("explain: open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(scanner.Bytes()); ok {
			take(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: read log: %w", err)
	}
	return nil
}

// subjects are what a request met, and when.
type subjects struct {
	servers, models, instances map[string]bool
	from, to                   time.Time
}

func (s *Story) subjects() subjects {
	about := subjects{
		servers: map[string]bool{}, models: map[string]bool{}, instances: map[string]bool{},
		from: s.Lines[0].Time.Add(-contextBefore), to: s.Lines[len(s.Lines)-1].Time,
	}
	for _, l := range s.Lines {
		about.servers[l.Server] = l.Server != ""
		about.models[l.Model] = l.Model != ""
		about.instances[l.Instance] = true
	}
	return about
}

// instanceParts are the parts whose warnings concern all requests of an instance.
var instanceParts = map[string]bool{"store": true, "config": true, "daemon": true}

// concerns reports whether a line without a request may explain the request's end.
func (a subjects) concerns(l Line) bool {
	if l.Time.Before(a.from) || l.Time.After(a.to) {
		return false
	}
	return a.servers[l.Server] || a.models[l.Ref] || (instanceParts[l.Part] && a.instances[l.Instance])
}

// Write writes the story: its lines, what was known around it, and its cause.
func (s *Story) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	all := append(append([]Line(nil), s.Lines...), s.Context...)
	byTime(all)
	for _, l := range all {
		mark := " "
		if l.Request != "" {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %s %s %s: %s%s\n", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Part, l.Message, l.details())
	}
	fmt.Fprintln(out, s.Cause())
	return out.Flush()
}

// details words the fields of a line that matter to a reader.
func (l Line) details() string {
	var out string
	add := func(name, value string) {
		if value != "" {
			out += fmt.Sprintf(", %s %s", name, value)
		}
	}
	add("server", l.Server)
	add("ref", l.Ref)
	add("code", l.Code)
	add("verdict", l.Verdict)
	if l.Waited > 0 {
		add("waited", l.Waited.String())
	}
	add("reason:", l.Reason)
	add("error:", l.Error)
	return out
}
