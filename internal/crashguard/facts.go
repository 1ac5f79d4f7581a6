package crashguard

import (
	"encoding/binary"
	"slices"
	"time"

	"limpethub/internal/gossip"
	"limpethub/internal/quarantine"
)

// hashBytes is the size of a subject's hash in a fact.
const hashBytes = 8

// crashTopics and proofTopics are the topics of the facts about subjects, by their kind.
var (
	crashTopics = map[quarantine.Kind]gossip.Topic{
		quarantine.PromptPart: gossip.TopicCrash, quarantine.WholeRequest: gossip.TopicRequestCrash,
	}
	proofTopics = map[quarantine.Kind]gossip.Topic{
		quarantine.PromptPart: gossip.TopicProof, quarantine.WholeRequest: gossip.TopicRequestProof,
	}
)

// kindOf returns the kind of the subjects that a fact is about.
func kindOf(topic gossip.Topic) quarantine.Kind {
	switch topic {
	case gossip.TopicRequestCrash, gossip.TopicRequestProof, gossip.TopicRequestTrial:
		return quarantine.WholeRequest
	}
	return quarantine.PromptPart
}

// Handlers returns the cluster's handlers of the facts about crashes.
func (g *Guard) Handlers() map[gossip.Topic]func(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	return map[gossip.Topic]func(time.Time, gossip.Timed) (gossip.Timed, bool){
		gossip.TopicCrash: g.HandleCrash, gossip.TopicRequestCrash: g.HandleCrash,
		gossip.TopicProof: g.HandleProof, gossip.TopicRequestProof: g.HandleProof,
		gossip.TopicRequestTrial: g.HandleTrial,
	}
}

// publishCrash tells the other instances what is known of a crash, as far as this instance has seen
// anything of it: one fact for each kind of subject.
func (g *Guard) publishCrash(seen, joined quarantine.Crash) {
	for _, kind := range []quarantine.Kind{quarantine.PromptPart, quarantine.WholeRequest} {
		if slices.ContainsFunc(seen.Subjects, func(s quarantine.Subject) bool { return s.Kind == kind }) {
			g.options.Publish(crashFact(joined, kind))
		}
	}
}

// HandleCrash joins what a peer says of a crash.
func (g *Guard) HandleCrash(_ time.Time, f gossip.Timed) (gossip.Timed, bool) {
	c, ok := decodeCrash(f)
	if !ok {
		g.options.Logger.WithField("bytes", len(f.Value)).Warn("Ignored a peer's word of a crash: its subjects are malformed")
		return f, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	joined, isNew := g.addCrash(c, false)
	return crashFact(joined, kindOf(f.Topic)), isNew
}

// HandleProof joins what a peer says of a proof.
func (g *Guard) HandleProof(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	subject := quarantine.Subject{Kind: kindOf(f.Topic), Hash: f.Key}
	g.mu.Lock()
	defer g.mu.Unlock()
	isNew := g.evidence.AddProof(now, subject, f.At)
	if isNew {
		g.told[subject] = toldProof{toldAt: now, provenAt: f.At}
		g.recheck(now)
	}
	return f, isNew
}

// HandleTrial joins what a peer says of the trial of a request.
func (g *Guard) HandleTrial(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	trials, size := binary.Uvarint(f.Value)
	if size <= 0 || size < len(f.Value) || trials > maxTrials {
		g.options.Logger.WithField("bytes", len(f.Value)).Warn("Ignored a peer's word of a trial: it is malformed")
		return f, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	isNew := g.evidence.AddTrial(quarantine.Subject{Kind: kindOf(f.Topic), Hash: f.Key}, int(trials), f.At)
	if isNew {
		g.recheck(now)
	}
	return f, isNew
}

// maxTrials limits the number of trials that a peer may tell of.
const maxTrials = 1 << 20

// crashFact returns what is known of a crash about subjects of one kind.
func crashFact(c quarantine.Crash, kind quarantine.Kind) gossip.Timed {
	var value []byte
	for _, subject := range c.Subjects {
		if subject.Kind == kind {
			value = binary.LittleEndian.AppendUint64(value, subject.Hash)
		}
	}
	return gossip.Timed{Topic: crashTopics[kind], Key: c.Process, Value: value, At: c.At}
}

func decodeCrash(f gossip.Timed) (quarantine.Crash, bool) {
	c := quarantine.Crash{Process: f.Key, At: f.At}
	if len(f.Value)%hashBytes != 0 {
		return c, false
	}
	for value := f.Value; len(value) > 0; value = value[hashBytes:] {
		c.Subjects = append(c.Subjects, quarantine.Subject{Kind: kindOf(f.Topic), Hash: binary.LittleEndian.Uint64(value)})
	}
	return c, true
}

func proofFact(s quarantine.Subject, at time.Time) gossip.Timed {
	return gossip.Timed{Topic: proofTopics[s.Kind], Key: s.Hash, At: at}
}

func trialFact(s quarantine.Subject, trials int, at time.Time) gossip.Timed {
	return gossip.Timed{Topic: gossip.TopicRequestTrial, Key: s.Hash, Value: binary.AppendUvarint(nil, uint64(trials)), At: at}
}
