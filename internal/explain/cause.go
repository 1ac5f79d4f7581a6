package explain

import (
	"fmt"

	"limpethub/internal/verdict"
)

// Cause says in one sentence why the request ended as it did, or why the logs don't tell.
func (s *History) Cause() string {
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No log line names request %s: no instance whose log was given received it, or its lines were dropped (search the logs for \"Lines were dropped\").", s.ID)
	}
	end, ended := s.end()
	if !ended {
		last := s.Lines[len(s.Lines)-1]
		return fmt.Sprintf("No log line tells how request %s ended. The last line about it is %q on instance %s at %s: that process was killed, or a later part of its log is missing.",
			s.ID, last.Message, last.Instance, last.Time.Format("15:04:05.000"))
	}
	if end.Code == "" {
		return s.deliveredText(end)
	}
	return s.failedText(end)
}

// end returns the line about the end of the request. If the caller repeated the request with
// the same ID, there may be several; the last one counts.
func (s *History) end() (Line, bool) {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].Message == messageEnded {
			return s.Lines[i], true
		}
	}
	return Line{}, false
}

// deliveredText returns the sentence for a request whose answer was delivered.
func (s *History) deliveredText(end Line) string {
	if end.Status >= 400 {
		return fmt.Sprintf("The answer of server %s, with status %d, was delivered (attempts: %d).", end.Server, end.Status, end.Attempts)
	}
	return fmt.Sprintf("The complete answer of server %s was delivered (attempts: %d).", end.Server, end.Attempts)
}

// causeTexts returns, by the code of a failure, the part of the sentence that says why the
// request failed. end is the line about the request's end. A code that isn't listed is
// explained by the error in that line.
var causeTexts = map[verdict.Code]func(s *History, end Line) string{
	verdict.CodeDeadlineCannotBeMet: func(_ *History, end Line) string {
		return "it could not finish in time: " + end.Error
	},
	verdict.CodeQueueFull: func(_ *History, _ Line) string { return "the queue of its class was full" },
	// For a call of a plain service end.Model is empty.
	verdict.CodeNoServer: func(s *History, end Line) string {
		// The line can be about something other than an order; see lastPlacementLine.
		if line, ok := s.lastPlacementLine(end.Model); ok {
			return fmt.Sprintf("no server had a copy of %s in time; the last order for it was given at %s", end.Model, line.Time.Format("15:04:05.000"))
		}
		return fmt.Sprintf("no server had a copy of %s in time, and the logs contain no order for it: read the log of the instance that holds the placement lease", end.Model)
	},
	verdict.CodeServersPaused: func(_ *History, _ Line) string {
		return "every server that could run it had asked the instance to send nothing for a while"
	},
	verdict.CodePromptQuarantined: func(_ *History, end Line) string {
		return "servers end with a part of its prompt: " + end.Error
	},
	verdict.CodeVersionUnavailable: func(_ *History, end Line) string {
		return "the stream could not go on at the software version that began it: " + end.Error
	},
	verdict.CodeRequestQuarantined: func(_ *History, end Line) string {
		return "servers end under it each time that it comes: " + end.Error
	},
	verdict.CodeServersLimited: func(_ *History, _ Line) string {
		return "every server that could run it had named a limit and got as many requests as that allows"
	},
	// A refusal by an instance that has no configuration yet has this code too.
	verdict.CodeStopping:      func(_ *History, end Line) string { return "instance " + end.Instance + " was stopping" },
	verdict.CodeServerRefused: func(_ *History, end Line) string { return "server " + end.Server + " refused it: " + end.Error },
	verdict.CodeServerFailed:  func(_ *History, end Line) string { return "server " + end.Server + " failed: " + end.Error },
	verdict.CodeStreamCut:     func(_ *History, end Line) string { return "stream cut off on server " + end.Server + ": " + end.Error },
	verdict.CodeCanceled:      func(_ *History, _ Line) string { return "the caller disconnected" },
	verdict.CodeDeadlineExpired: func(s *History, end Line) string {
		if end.Attempts == 0 {
			return "its deadline passed while it was queued on the instance"
		}
		return "its deadline passed while server " + end.Server + " worked on it"
	},
}

// failedText returns the sentence for a request that failed, and a second one with the last
// problem of its server if the context has one.
func (s *History) failedText(end Line) string {
	cause := end.Error
	if describe, ok := causeTexts[verdict.Code(end.Code)]; ok {
		cause = describe(s, end)
	}
	text := fmt.Sprintf("The request failed on instance %s (%s, %s, attempts: %d): %s.", end.Instance, end.Code, end.Verdict, end.Attempts, cause)
	if problem, ok := s.lastProblem(end.Server); ok {
		text += fmt.Sprintf(" Before that, at %s, instance %s logged about the server: %s.", problem.Time.Format("15:04:05.000"), problem.Instance, problem.Message)
	}
	return text
}

// lastPlacementLine returns the last line of the context that the part logging.Placement
// logged about ref. Besides orders, that part logs failed and refused orders, units that can't
// be placed on any server, and unexpected changes; these lines match too.
func (s *History) lastPlacementLine(ref string) (Line, bool) {
	for i := len(s.Context) - 1; i >= 0; i-- {
		if l := s.Context[i]; l.Part == "placement" && l.Ref == ref {
			return l, true
		}
	}
	return Line{}, false
}

// problemMessages are the log messages about a server that stops or fails. They must match
// the texts that packages discovery, servers and residency log, letter for letter:
//   - "Server is leaving": it announced that it is about to stop.
//   - "Server is gone": it is no longer announced in the store.
//   - "server unreachable": its load report could not be read several times in a row.
//   - "Account of a server can't be read": the placement lease holder could not read its state.
var problemMessages = map[string]bool{
	"Server is leaving": true, "Server is gone": true, "server unreachable": true, "Account of a server can't be read": true,
}

// lastProblem returns the last line of the context about a problem of the server.
func (s *History) lastProblem(server string) (Line, bool) {
	for i := len(s.Context) - 1; i >= 0; i-- {
		if l := s.Context[i]; l.Server == server && problemMessages[l.Message] {
			return l, true
		}
	}
	return Line{}, false
}
