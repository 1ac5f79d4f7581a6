package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/site"
)

// movedClass is the present class of a request whose caller knows it by the number that the class had in an earlier
// document. It is kept until the deadline of the request, and for longer while that is at a server.
type movedClass struct {
	class    int
	deadline time.Time
}

// noteMovedClasses records the new numbers of the classes of all waiting and dispatched requests, which may come again with
// the old ones.
func (c *core) noteMovedClasses(now time.Time, old, document *site.Document, waiting []*flowcontrol.Item) {
	for id, moved := range c.movedClasses {
		if now.After(moved.deadline) && c.dispatched[id] == nil {
			delete(c.movedClasses, id)
			continue
		}
		c.movedClasses[id] = movedClass{class: sameClass(old, document, moved.class), deadline: moved.deadline}
	}
	for _, item := range waiting {
		c.noteMovedClass(old, document, item.Request.ID, item.Request.Class, item.Request.Deadline)
	}
	for id, d := range c.dispatched {
		c.noteMovedClass(old, document, id, d.class, d.deadline)
	}
}

func (c *core) noteMovedClass(old, document *site.Document, id request.ID, class int, deadline time.Time) {
	if _, known := c.movedClasses[id]; known {
		return
	}
	if moved := sameClass(old, document, class); moved != class {
		c.movedClasses[id] = movedClass{class: moved, deadline: deadline}
	}
}

// presentClass returns the class of a request that comes again, in the present document.
func (c *core) presentClass(r *request.Request) int {
	if moved, ok := c.movedClasses[r.ID]; ok {
		return moved.class
	}
	return min(max(r.Class, 0), len(c.document.Classes)-1)
}
