package workspacequota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/peers"
	"limpethub/internal/site"
)

const (
	// tickPeriod is the time between two ticks while a workspace has a limit.
	tickPeriod = 25 * time.Millisecond
	// membersPeriod is the time between two looks at the members, of which not all changes are told.
	membersPeriod = 500 * time.Millisecond
)

// Sender sends a datagram to a peer by its name. It must not block.
type Sender interface {
	SendUrgent(name string, kind peers.Kind, payload []byte)
}

// Options configure Quotas.
type Options struct {
	// Self is the name of this instance, and Process identifies its process: it must be higher than that of
	// earlier processes of the instance.
	Self    string
	Process uint64
	Rules   Rules
	Sender  Sender
	// Transport receives the messages of peers. New registers the handler for KindQuota.
	Transport peers.Transport
	// Members returns the instances.
	Members func() Members
	// Now must keep running while the machine is suspended, so that old states are known as such.
	Now    func() time.Time
	Seed   uint64
	Logger *logrus.Entry
}

// Quotas keeps the limits of workspaces at one instance. It is safe for concurrent use.
type Quotas struct {
	options Options
	// wake lets the loop go on that waits for a workspace with a limit, and look at the members.
	wake chan struct{}

	mu        sync.Mutex
	node      *Node
	membersAt time.Time
	members   Members
}

var _ peers.Handler = (*Quotas)(nil)

// New returns Quotas and registers them with the transport.
func New(options Options) *Quotas {
	q := &Quotas{
		options: options, wake: make(chan struct{}, 1),
		node: NewNode(options.Now(), options.Self, options.Process, options.Rules, options.Seed),
	}
	options.Transport.Handle(peers.KindQuota, q)
	return q
}

// Run performs what is due until the context ends. While no workspace has a limit, it only waits.
func (q *Quotas) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		ticks := ticker.C
		if !q.active() {
			ticker.Stop()
			ticks = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			ticker.Reset(tickPeriod)
		case <-ticks:
		}
		q.tick()
	}
}

func (q *Quotas) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Active()
}

func (q *Quotas) tick() {
	q.do(func(now time.Time, n *Node) {
		if now.Sub(q.membersAt) >= membersPeriod {
			q.lookAtMembers(now)
		}
		n.Tick(now)
	})
}

// do passes one event to the node, if any workspace has a limit, and sends the resulting messages.
func (q *Quotas) do(event func(now time.Time, n *Node)) {
	q.mu.Lock()
	if !q.node.Active() {
		q.mu.Unlock()
		return
	}
	event(q.options.Now(), q.node)
	out := q.node.Take()
	q.mu.Unlock()
	q.send(out)
}

func (q *Quotas) send(out []outgoing) {
	for _, o := range out {
		payload, err := encode(&o.message)
		if err != nil {
			q.options.Logger.WithField("peer", o.to).WithError(err).Error("A message about quotas isn't sent: encoding failed")
			continue
		}
		q.options.Sender.SendUrgent(o.to, peers.KindQuota, payload)
	}
}

// lookAtMembers tells the node the members if they have changed. q.mu must be held.
func (q *Quotas) lookAtMembers(now time.Time) {
	q.membersAt = now
	members := q.options.Members()
	if members.equal(q.members) {
		return
	}
	q.members = members
	q.node.SetMembers(now, members)
}

func (m Members) equal(o Members) bool {
	return m.Covered == o.Covered && m.Known == o.Known && slices.Equal(m.Candidates, o.Candidates) && slices.Equal(m.Peers, o.Peers)
}

// MembersChanged makes the loop look at the members now.
func (q *Quotas) MembersChanged() {
	q.mu.Lock()
	q.membersAt = time.Time{}
	isActive := q.node.Active()
	q.mu.Unlock()
	if isActive {
		q.wakeUp()
	}
}

func (q *Quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// SetDocument puts the limits of a configuration in force.
func (q *Quotas) SetDocument(document *site.Document) {
	q.mu.Lock()
	now := q.options.Now()
	if slices.ContainsFunc(document.Workspaces, func(w site.Workspace) bool { return !w.Limit.Unlimited() }) {
		q.lookAtMembers(now)
	}
	q.node.SetDocument(now, document)
	q.mu.Unlock()
	q.wakeUp()
}

// Admit decides about a request of a workspace, and counts it if it is admitted.
func (q *Quotas) Admit(workspace string, cost int) Verdict {
	v := Verdict{Admitted: true}
	q.do(func(now time.Time, n *Node) { v = n.Admit(now, workspace, cost) })
	return v
}

// Charge counts a request that is sent to another server after it was admitted.
func (q *Quotas) Charge(workspace string, cost int) {
	q.do(func(now time.Time, n *Node) { n.Charge(now, workspace, cost) })
}

// Return takes back a request that was admitted or charged and not sent.
func (q *Quotas) Return(workspace string, cost int) {
	q.do(func(now time.Time, n *Node) { n.Return(now, workspace, cost) })
}

// Status describes the workspaces with a limit, in the order of their names.
func (q *Quotas) Status() []WorkspaceStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Status(q.options.Now())
}

// HandleDatagram implements peers.Handler.
func (q *Quotas) HandleDatagram(from string, payload []byte) {
	m, err := decode(payload)
	if err != nil {
		q.options.Logger.WithField("peer", from).WithError(err).Warn("Ignored a message about quotas: it is malformed")
		return
	}
	q.do(func(now time.Time, n *Node) { n.Receive(now, from, m) })
}

// HandleCall implements peers.Handler. Messages about quotas are sent as datagrams only.
func (q *Quotas) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }
