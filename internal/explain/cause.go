package explain

import (
	"fmt"

	"limpethub/internal/verdict"
)

// Cause says in one sentence why the request ended as it did, or what is missing to say
// so.
func (s *Story) Cause() string {
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line tells of request %s: it reached no instance whose log is here, or its lines were dropped (look for \"Lines were dropped\").", s.ID)
	}
	end, ended := s.end()
	if !ended {
		last := s.Lines[len(s.Lines)-1]
		return fmt.Sprintf("No instance logged the end of request %s; the last word is %q on %s at %s: that process was killed, or its later log is missing.",
			s.ID, last.Message, last.Instance, last.Time.Format("15:04:05.000"))
	}
	if end.Code == "" {
		return s.delivered(end)
	}
	return s.failed(end)
}

// end returns the line with the request's end. A request that came back under the same id
// has several; the last counts.
func (s *Story) end() (Line, bool) {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].Message == messageEnded {
			return s.Lines[i], true
		}
	}
	return Line{}, false
}

func (s *Story) delivered(end Line) string {
	if end.Status >= 400 {
		return fmt.Sprintf("Server %s answered with status %d, and that answer was delivered after %d attempts.", end.Server, end.Status, end.Attempts)
	}
	return fmt.Sprintf("The answer of server %s was delivered whole, after %d attempts.", end.Server, end.Attempts)
}

// causes words the codes of failures; each gets the line of the end.
var causes = map[verdict.Code]func(s *Story, end Line) string{
	verdict.CodeDeadlineCannotBeMet: func(_ *Story, end Line) string {
		return "it could not finish in time: " + end.Error
	},
	verdict.CodeQueueFull: func(_ *Story, _ Line) string { return "too many requests of its class waited" },
	verdict.CodeNoServer: func(s *Story, end Line) string {
		if order, ok := s.lastOrder(end.Model); ok {
			return fmt.Sprintf("no server held %s in time; the last order for it was at %s", end.Model, order.Time.Format("15:04:05.000"))
		}
		return fmt.Sprintf("no server held %s in time, and nobody ordered it: look for the holder of the placement lease", end.Model)
	},
	verdict.CodeStopping:      func(_ *Story, end Line) string { return "instance " + end.Instance + " was stopping" },
	verdict.CodeServerRefused: func(_ *Story, end Line) string { return "server " + end.Server + " refused it: " + end.Error },
	verdict.CodeServerFailed:  func(_ *Story, end Line) string { return "server " + end.Server + " failed: " + end.Error },
	verdict.CodeStreamCut:     func(_ *Story, end Line) string { return "the stream broke off on " + end.Server + ": " + end.Error },
	verdict.CodeCanceled:      func(_ *Story, _ Line) string { return "the caller went away" },
	verdict.CodeDeadlineExpired: func(s *Story, end Line) string {
		if end.Attempts == 0 {
			return "its deadline passed while it waited here"
		}
		return "its deadline passed while server " + end.Server + " worked on it"
	},
}

func (s *Story) failed(end Line) string {
	why := end.Error
	if word, ok := causes[verdict.Code(end.Code)]; ok {
		why = word(s, end)
	}
	text := fmt.Sprintf("The request failed on %s (%s, %s after %d attempts): %s.", end.Instance, end.Code, end.Verdict, end.Attempts, why)
	if trouble, ok := s.trouble(end.Server); ok {
		text += fmt.Sprintf(" Shortly before, at %s, %s said of that server: %s.", trouble.Time.Format("15:04:05.000"), trouble.Instance, trouble.Message)
	}
	return text
}

// lastOrder finds the last order for a version around the request.
func (s *Story) lastOrder(ref string) (Line, bool) {
	for i := len(s.Context) - 1; i >= 0; i-- {
		if l := s.Context[i]; l.Part == "placement" && l.Ref == ref {
			return l, true
		}
	}
	return Line{}, false
}

// troubles are the messages that tell of a server that leaves or fails.
var troubles = map[string]bool{
	"Server is leaving": true, "Server is gone": true, "server unreachable": true, "Account of a server can't be read": true,
}

// trouble finds the last trouble of a server around the request.
func (s *Story) trouble(server string) (Line, bool) {
	for i := len(s.Context) - 1; i >= 0; i-- {
		if l := s.Context[i]; l.Server == server && troubles[l.Message] {
			return l, true
		}
	}
	return Line{}, false
}
