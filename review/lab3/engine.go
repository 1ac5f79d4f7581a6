package lab3

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Heartbeat is how often a server writes its entry. An entry is removed after three of these times of silence.
	Heartbeat = 1200 * time.Millisecond
	// silentHeartbeats is after how many heartbeats of silence an entry is removed.
	silentHeartbeats = 3
	engineSlots      = 64
	streamEvents     = 5
)

// Model is a model of the deployment.
type Model struct {
	Name                   string
	MB                     float64
	Load, FromDisk, Unload time.Duration
}

// Order is an order as a server reads it.
type Order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

func (o Order) String() string {
	expected := int64(-1)
	if o.Expected != nil {
		expected = *o.Expected
	}
	return fmt.Sprintf("%s %s expected=%d holder=%s fence=%d", o.Operation, strings.TrimSuffix(o.Model+"/"+o.Adapter, "/"), expected, o.Holder, o.Fence)
}

// EngineOptions describes a model server.
type EngineOptions struct {
	ID, Service, Zone string
	Store             *Store
	Record            *Record
	Models            []Model
	WeightsMB         float64
	AdapterSlots      int
	// Held are the models that the first incarnation holds from its start.
	Held []string
	// Disk are the models of which copies are on the server's disk from its start.
	Disk []string
	// Late returns after how long an order is carried out that gets no answer; false for one that is answered. It is called with
	// the server's sequence and held models.
	Late func(o Order, sequence int64, held []string) (time.Duration, bool)
	// OnOverload is called when the server is ordered to load more than it holds, with what it holds then.
	OnOverload func(o Order, held []string, sumMB float64)
}

// Engine is a stand-in of a model server, as PROTOCOL.md describes it.
type Engine struct {
	options EngineOptions
	address string

	mu       sync.Mutex
	server   *http.Server
	running  bool
	born     int64
	sequence int64
	changes  int64
	busy     bool
	models   map[string]bool
	onDisk   map[string]bool
	lastBeat time.Time
}

// NewEngine starts a server on a free loopback port and announces it.
func NewEngine(options EngineOptions) (*Engine, error) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{options: options, address: probe.Addr().String(), onDisk: map[string]bool{}}
	for _, name := range options.Disk {
		e.onDisk[name] = true
	}
	_ = probe.Close()
	if err := e.start(options.Held); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

func (e *Engine) start(held []string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.running, e.born, e.sequence, e.changes, e.busy = true, time.Now().UnixMilli(), 0, 0, false
	e.models = map[string]bool{}
	for _, name := range held {
		e.models[name], e.onDisk[name] = true, true
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.announce()
	return nil
}

// Crash ends the server. It sends nothing more.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.running = false
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.options.Record.Line("server %s crashes", e.options.ID)
}

// StartAgain starts the server under its id. It holds nothing; its disk is as before.
func (e *Engine) StartAgain() error {
	e.options.Record.Line("server %s starts again under its id, empty", e.options.ID)
	return e.start(nil)
}

func (e *Engine) key() string { return "servers/" + e.options.ID }

// beat writes the entry at each heartbeat, and lets the platform remove it after the silence.
func (e *Engine) beat() {
	for range time.Tick(50 * time.Millisecond) {
		e.mu.Lock()
		running, silence := e.running, time.Since(e.lastBeat)
		e.mu.Unlock()
		switch {
		case running && silence >= Heartbeat:
			e.announce()
		case !running && silence >= silentHeartbeats*Heartbeat && e.options.Store.Has(e.key()):
			e.options.Store.Remove(e.key())
			e.options.Record.Line("the store removes the entry of server %s after three heartbeats of silence", e.options.ID)
		}
	}
}

func (e *Engine) announce() {
	e.mu.Lock()
	e.changes++
	e.lastBeat = time.Now()
	entry := map[string]any{
		"service": e.options.Service, "address": e.address, "zone": e.options.Zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": e.changes, "born": e.born, "stage": "colocated",
		"models": e.heldModels(), "at_hand": e.atHand(),
	}
	e.mu.Unlock()
	e.options.Store.Put(e.key(), entry)
}

func (e *Engine) heldModels() []map[string]any {
	out := []map[string]any{}
	for _, name := range e.held() {
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return out
}

func (e *Engine) held() []string {
	var out []string
	for name := range e.models {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (e *Engine) atHand() map[string]any {
	disk := []string{}
	for name := range e.onDisk {
		disk = append(disk, name)
	}
	slices.Sort(disk)
	return map[string]any{"in_memory": []string{}, "on_disk": disk}
}

// Held returns the models that the server holds, and its sequence.
func (e *Engine) Held() ([]string, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held(), e.sequence
}

// OnDisk returns the models on the server's disk.
func (e *Engine) OnDisk() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.onDisk))
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Instance-Id", e.options.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/report":
		e.mu.Lock()
		report := map[string]any{
			"stage": "colocated", "models": e.heldModels(), "busy": e.busy, "sequence": e.sequence,
			"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 269690, "handles": 0, "coming": []string{}, "at_hand": e.atHand(),
		}
		e.mu.Unlock()
		answer(w, http.StatusOK, report)
	case "/order":
		e.serveOrder(w, body)
	default:
		e.serveStream(w, r)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, body []byte) {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	sequence, held := e.sequence, e.held()
	e.mu.Unlock()
	if e.options.Late != nil {
		if after, late := e.options.Late(o, sequence, held); late {
			e.options.Record.Line("server %s leaves the order without an answer, and carries it out %v later: %v", e.options.ID, after, o)
			time.AfterFunc(after, func() { e.carryOutLate(o) })
			e.hangUp(w)
			return
		}
	}
	status := e.take(o)
	e.options.Record.Line("server %s answers %d: %v", e.options.ID, status, o)
	w.WriteHeader(status)
}

// hangUp leaves a call without an answer: the connection stays open for a while and is then closed.
func (e *Engine) hangUp(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	time.AfterFunc(10*time.Second, func() { _ = connection.Close() })
}

// carryOutLate takes an order that got no answer, if the server runs.
func (e *Engine) carryOutLate(o Order) {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	if !running {
		return
	}
	e.options.Record.Line("server %s carries out the late order, which would be answered %d: %v", e.options.ID, e.take(o), o)
}

// take takes an order and returns the status of its answer.
func (e *Engine) take(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, known := e.model(o.Model)
	switch {
	case !known || o.Adapter != "" || o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	case o.Operation == "load" == e.models[o.Model]:
		return http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	}
	e.sequence++
	e.busy = true
	if o.Operation == "unload" {
		e.finishAfter(model.Unload, func() { delete(e.models, o.Model) })
		return http.StatusAccepted
	}
	sum := model.MB
	for name := range e.models {
		held, _ := e.model(name)
		sum += held.MB
	}
	if sum > e.options.WeightsMB {
		held := e.held()
		e.options.Record.Line("RULE BROKEN: server %s, which holds %v, is ordered to load %s: %.0f MB of %.0f MB", e.options.ID, held, o.Model, sum, e.options.WeightsMB)
		go e.options.OnOverload(o, held, sum)
		return http.StatusAccepted
	}
	duration := model.Load
	if e.onDisk[o.Model] {
		duration = model.FromDisk
	}
	e.finishAfter(duration, func() { e.models[o.Model], e.onDisk[o.Model] = true, true })
	return http.StatusAccepted
}

// finishAfter ends the present order after a time, unless the server has crashed meanwhile.
func (e *Engine) finishAfter(duration time.Duration, finish func()) {
	born := e.born
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		same := e.running && e.born == born
		if same {
			finish()
			e.busy = false
		}
		e.mu.Unlock()
		if same {
			e.announce()
		}
	})
}

func (e *Engine) model(name string) (Model, bool) {
	for _, m := range e.options.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", "1,0,"+strconv.Itoa(engineSlots))
	e.mu.Lock()
	held := e.models[r.Header.Get("Model")]
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
