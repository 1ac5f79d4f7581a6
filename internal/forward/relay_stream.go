package forward

import (
	"errors"
	"io"

	"limpethub/internal/crashwatch"
	"limpethub/internal/engine"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// relayStream delivers the events of a stream as they arrive. Each event counts as one token.
func (r *Relay) relayStream(relayed *relayedRequest, answer engine.Answer, run *crashwatch.Run, outcome *scheduling.Outcome) error {
	deliveredBefore := relayed.result.Events
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) && relayed.endsTooEarly(deliveredBefore) {
			cut := verdict.Unclear(verdict.CodeStreamCut, nil, "the server ended the resumed stream without a further event")
			return &brokenAnswerError{err: cut}
		}
		if errors.Is(err, io.EOF) {
			outcome.Verdict = verdict.Ran
			return r.deliverHead(relayed, answer.Head())
		}
		if err != nil {
			cut := verdict.Unclear(verdict.CodeStreamCut, err, "the stream broke off after %d events", relayed.result.Events)
			return &brokenAnswerError{err: cut}
		}
		relayed.answerBegun(run)
		if outcome.Tokens == 0 && r.isOtherVersion(relayed) {
			return verdict.Unclear(verdict.CodeStreamCut, nil, "the server has another software version than the one that began the stream")
		}
		skip, err := relayed.checkSequence(piece)
		if err != nil {
			return err
		}
		outcome.Tokens++
		if outcome.Tokens == 1 {
			outcome.FirstToken = r.options.Now().Sub(relayed.attemptStart)
		}
		if outcome.Tokens%progressBatchEvents == 1 {
			r.options.Dispatcher.Progress(relayed.call.Request.ID, outcome.Tokens)
		}
		if skip {
			continue
		}
		if err := r.deliverEvent(relayed, answer.Head(), piece); err != nil {
			return err
		}
	}
}

// endsTooEarly reports whether the end of an answer that resumed a stream, and brought no event, may not be that of the
// stream: the server that broke off may not have sent its last event. Only a stream of the longest
// length that the request allows is known to be complete, as each event has a token at least.
func (relayed *relayedRequest) endsTooEarly(deliveredBefore int) bool {
	q := &relayed.call.Request
	isLongest := q.MaxTokens > 0 && relayed.lastEventID+1 >= int64(q.MaxTokens)
	return deliveredBefore > 0 && relayed.result.Events == deliveredBefore && !isLongest
}

// checkSequence checks that an event is the next one after lastEventID. An event that the
// caller already has is skipped. A gap is an error. Events without ids aren't checked, and
// if the caller has no event yet, the first one isn't checked.
func (relayed *relayedRequest) checkSequence(piece engine.RawEvent) (skip bool, err error) {
	if piece.ID < 0 || relayed.lastEventID < 0 {
		return false, nil
	}
	if piece.ID <= relayed.lastEventID {
		return true, nil
	}
	if piece.ID > relayed.lastEventID+1 {
		return false, verdict.Unclear(verdict.CodeStreamCut, nil, "the server skipped from event %d to %d", relayed.lastEventID, piece.ID)
	}
	return false, nil
}

func (r *Relay) deliverEvent(relayed *relayedRequest, head *engine.AnswerHead, piece engine.RawEvent) error {
	if err := r.deliverHead(relayed, head); err != nil {
		return err
	}
	r.beginStream(relayed)
	if err := wrapSinkError(relayed.sink.Event(piece)); err != nil {
		return err
	}
	if relayed.result.Events == 0 {
		relayed.result.FirstEvent = r.options.Now().Sub(relayed.relayStart)
	}
	relayed.result.Events++
	relayed.lastEventID = piece.ID
	return nil
}

// deliverHead delivers the head of an answer once, before the first event or at the end of
// an empty stream. Until then another server can take over without the caller noticing.
func (r *Relay) deliverHead(relayed *relayedRequest, head *engine.AnswerHead) error {
	if relayed.headDelivered {
		return nil
	}
	relayed.headDelivered = true
	relayed.result.Status = head.Status
	return wrapSinkError(relayed.sink.Begin(head))
}
