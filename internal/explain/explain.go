// Package explain reconstructs the history of one request from the logs of all instances,
// for the command-line tool: it collects the decisions about the request and the problems
// logged around it, in order of time, and says in one sentence why the request ended as it
// did. It reads log files only; package operatorapi explains models on a running instance.
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
	// contextBefore limits the context before the request: lines that were logged up to
	// this long before the request's first line may explain its end.
	contextBefore = 6 * time.Second
	// maxLineBytes is the maximum length of a log line; a longer one is an error.
	maxLineBytes = 1 << 20
)

// messageEnded is the message of the log line about the end of a request, which package
// platform logs. Package gateway logs "request failed" for a failure instead; that line isn't
// taken for the end. Instances of other versions log "Ended" too, so it may not change.
const messageEnded = "Ended"

// Line is one line of a log, with the fields that explain the end of a request.
type Line struct {
	Time     time.Time
	Instance string
	// Part is the part of the system that logged the line; see logging.Part.
	Part    string
	Message string
	// Request is the ID of the request that the line is about; empty if it is about none.
	Request string
	// Server, Ref and Model name what the line is about. Ref and Model are each a version
	// of a model or adapter: Ref in lines of placement, Model in lines about a request.
	Server, Ref, Model string
	// Code, Verdict, Reason and Error describe an outcome or a decision.
	Code, Verdict, Reason, Error string
	// Attempts is how many times the request was sent to a server, Status the HTTP
	// status of the server's answer.
	Attempts, Status int
	// Waited is how long the request was queued.
	Waited time.Duration
}

// jsonLine is a log line in its JSON form. The names of the fields are those that all
// versions log.
type jsonLine struct {
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

// Parse parses one log line. It skips text before the JSON object, such as the prefix of a
// log collector. ok is false for a line without a valid JSON object.
func Parse(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var r jsonLine
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

// History is the history of one request, as the logs record it.
type History struct {
	ID string
	// Lines are the lines about the request, Context those about its servers, models
	// and instances around the same time. Both are in order of time.
	Lines, Context []Line
}

// OpenLog opens a log at its start. ReadHistory calls it twice per log.
type OpenLog func() (io.ReadCloser, error)

// ReadHistory reads all logs and returns the history of the request with the given ID. If no
// line names the request, the history is empty and the error nil.
func ReadHistory(id string, logs []OpenLog) (*History, error) {
	s := &History{ID: id}
	err := eachLine(logs, func(l Line) {
		if l.Request == id {
			s.Lines = append(s.Lines, l)
		}
	})
	if err != nil || len(s.Lines) == 0 {
		return s, err
	}
	sortByTime(s.Lines)
	scope := s.contextScope()
	err = eachLine(logs, func(l Line) {
		if l.Request == "" && scope.concerns(l) {
			s.Context = append(s.Context, l)
		}
	})
	sortByTime(s.Context)
	return s, err
}

// sortByTime sorts lines by time. Lines with equal times keep their order.
func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// eachLine calls handle for each line of all logs that Parse accepts.
func eachLine(logs []OpenLog, handle func(Line)) error {
	for _, open := range logs {
		if err := eachLineOfLog(open, handle); err != nil {
			return err
		}
	}
	return nil
}

// eachLineOfLog calls handle for each line of one log that Parse accepts.
func eachLineOfLog(open OpenLog, handle func(Line)) error {
	log, err := open()
	if err != nil {
		return fmt.Errorf("explain: open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(scanner.Bytes()); ok {
			handle(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: read log: %w", err)
	}
	return nil
}

// contextScope says which lines belong to History.Context: those about the servers, models and
// instances that appear in the lines about a request, within a period.
type contextScope struct {
	servers, models, instances map[string]bool
	from, to                   time.Time
}

// contextScope returns the scope of the request's context. s.Lines must be sorted and not empty.
func (s *History) contextScope() contextScope {
	out := contextScope{
		servers: map[string]bool{}, models: map[string]bool{}, instances: map[string]bool{},
		from: s.Lines[0].Time.Add(-contextBefore), to: s.Lines[len(s.Lines)-1].Time,
	}
	for _, l := range s.Lines {
		// An empty name is stored as false, so that it doesn't match lines without a name.
		out.servers[l.Server] = l.Server != ""
		out.models[l.Model] = l.Model != ""
		out.instances[l.Instance] = true
	}
	return out
}

// instanceParts are the parts of the system whose lines may concern any request of their
// instance. They are the values of logging.Store, logging.Config and logging.Daemon.
var instanceParts = map[string]bool{"store": true, "config": true, "daemon": true}

// concerns reports whether a line that names no request may explain the request's end.
func (s contextScope) concerns(l Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	return s.servers[l.Server] || s.models[l.Ref] || (instanceParts[l.Part] && s.instances[l.Instance])
}

// Write writes the lines of the history and of its context in order of time, and then the
// cause. An asterisk marks the lines about the request.
func (s *History) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	all := append(append([]Line(nil), s.Lines...), s.Context...)
	sortByTime(all)
	for _, l := range all {
		mark := " "
		if l.Request != "" {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %s %s %s: %s%s\n", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Part, l.Message, l.formatFields())
	}
	fmt.Fprintln(out, s.Cause())
	return out.Flush()
}

// formatFields returns the fields of a line that help to explain the request's end.
func (l Line) formatFields() string {
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
