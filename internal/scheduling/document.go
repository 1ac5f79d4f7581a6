package scheduling

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/site"
)

func (c *core) SetDocument(now time.Time, document *site.Document) []Decision {
	if document == nil || len(document.Classes) == 0 {
		return c.advance(now)
	}
	c.applyDocument(now, document)
	return c.advance(now)
}

// applyDocument takes over the classes, adapters and budgets of a document. The queue is
// rebuilt for the new classes; each waiting request moves to the class with the same name.
func (c *core) applyDocument(now time.Time, document *site.Document) {
	old := c.document
	c.document = document
	for _, b := range c.budgets {
		b.SetShare(document.Budgets.RetryShare)
		b.SetSpare(document.Budgets.RetrySpare)
	}
	var waiting []*flowcontrol.Item
	if c.queue != nil {
		waiting = c.queue.All()
	}
	if old != nil {
		c.noteMovedClasses(now, old, document, waiting)
	}
	c.queue, c.floor = newQueue(document.Classes)
	clear(c.urgencies)
	for _, t := range c.targets {
		t.lane = c.queue.NewLane()
		t.blockedInPass = make([]uint64, len(document.Classes))
	}
	for _, item := range waiting {
		item.Request.Class = sameClass(old, document, item.Request.Class)
		item.Cost = c.fairCost(&item.Request)
		c.queue.Restore(c.target(keyOf(&item.Request)).lane, item)
	}
	c.applyAdapters(document)
	c.dropUnusedTargets()
}

func newQueue(classes []site.Class) (*flowcontrol.Queue, *flowcontrol.Floor) {
	var limits []int
	var shares []float64
	for _, class := range classes {
		limits = append(limits, class.QueueLimit)
		shares = append(shares, class.FloorShare)
	}
	return flowcontrol.New(limits), flowcontrol.NewFloor(shares)
}

// sameClass returns the class with the same name in the new document. A class that no longer
// exists is replaced by the least urgent one.
func sameClass(old, document *site.Document, class int) int {
	if i := document.ClassIndex(old.Classes[class].Name); i >= 0 {
		return i
	}
	return len(document.Classes) - 1
}

func (c *core) applyAdapters(document *site.Document) {
	c.bases = map[modelref.Ref]modelref.Ref{}
	for _, a := range document.Adapters {
		c.bases[a.Ref()] = a.Base
	}
	for _, s := range c.servers {
		c.index(s)
	}
}

// dropUnusedTargets drops the targets that have no copies and no waiting or dispatched
// requests.
func (c *core) dropUnusedTargets() {
	for key, t := range c.targets {
		if len(t.copies) > 0 || t.lane.Len() > 0 || t.dispatched > 0 {
			continue
		}
		delete(c.targets, key)
		for _, s := range c.servers {
			delete(s.knownCopies, key)
		}
	}
}
