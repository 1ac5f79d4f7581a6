package scheduling

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/site"
)

// SetDocument implements Scheduler.
func (c *core) SetDocument(now time.Time, document *site.Document) []Decision {
	if document == nil || len(document.Classes) == 0 {
		return c.advance(now)
	}
	c.useDocument(document)
	return c.advance(now)
}

// useDocument takes the classes, adapters and budgets of a document. The queue is
// rebuilt for its classes; what waits keeps its class by name.
func (c *core) useDocument(document *site.Document) {
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
	c.queue, c.floor = newQueue(document.Classes)
	for _, t := range c.targets {
		t.lane = c.queue.NewLane()
		t.blocked = make([]uint64, len(document.Classes))
	}
	for _, item := range waiting {
		item.Request.Class = moveClass(old, document, item.Request.Class)
		c.queue.Restore(c.target(keyOf(&item.Request)).lane, item)
	}
	c.useAdapters(document)
	c.forgetTargets()
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

// moveClass finds the class of the same name in the new document. A class that is
// gone becomes the least urgent one.
func moveClass(old, document *site.Document, class int) int {
	if i := document.ClassIndex(old.Classes[class].Name); i >= 0 {
		return i
	}
	return len(document.Classes) - 1
}

func (c *core) useAdapters(document *site.Document) {
	c.bases = map[modelref.Ref]modelref.Ref{}
	for _, a := range document.Adapters {
		c.bases[a.Ref()] = a.Base
	}
	for _, s := range c.servers {
		c.index(s)
	}
}

// forgetTargets drops the targets that no server has, nobody waits for and nothing
// runs for.
func (c *core) forgetTargets() {
	for key, t := range c.targets {
		if len(t.replicas) > 0 || t.lane.Len() > 0 || t.running > 0 {
			continue
		}
		delete(c.targets, key)
		for _, s := range c.servers {
			delete(s.seen, key)
		}
	}
}
