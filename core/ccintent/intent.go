// Package ccintent holds the intents of non-idempotent requests, so that each request runs at most once. A process
// writes an intent with its claim to the store before it sends the first byte of the request to a worker. It must not
// send the request if the stored intent has the claim of another attempt.
package ccintent

import (
	"coriandercross/core/ccwork"
)

// State is the state of a non-idempotent request.
type State string

const (
	// Claimed means that a process may have sent the request to a worker.
	Claimed State = "Claimed"
	// Ran means that the request ran and its result is known.
	Ran State = "Ran"
	// Free means that the request did not run and may be claimed again.
	Free State = "Free"
)

// Intent is the stored record of one request.
type Intent struct {
	State State
	// Claim identifies the attempt that may send the request. It is unique over all attempts of all processes.
	Claim string
	// At is when the record was last written, in Unix milliseconds by the wall clock of the writer.
	At int64
	// Failed and Answer are the result of the request. They are returned when the request is repeated.
	Failed bool   `json:",omitempty"`
	Answer []byte `json:",omitempty"`
	// Dropped is true if the answer was too large to be stored.
	Dropped bool `json:",omitempty"`
}

// Bucket is the intents of one bucket, stored as one value.
type Bucket struct {
	Intents map[string]Intent
}

// MaxAnswerBytes is the size of the largest answer that is stored.
const MaxAnswerBytes = 2048

// Claim claims a request for an attempt, unless the request was claimed or ran already, and returns the record in force.
// The attempt may send the request only if that record has its claim. Claim is idempotent.
func (b *Bucket) Claim(id, claim string, at int64) Intent {
	if b.Intents == nil {
		b.Intents = map[string]Intent{}
	}
	in, ok := b.Intents[id]
	if !ok || in.State == Free {
		in = Intent{State: Claimed, Claim: claim, At: at}
		b.Intents[id] = in
	}
	return in
}

// RecordOutcome records the result of the attempt that has the claim. It does not change the record if the outcome is
// Unknown. RecordOutcome is idempotent.
func (b *Bucket) RecordOutcome(id, claim string, r ccwork.Result, at int64) {
	in, ok := b.Intents[id]
	if !ok || in.Claim != claim || in.State != Claimed {
		return
	}
	switch r.Outcome {
	case ccwork.Ran:
		in.State = Ran
		in.Failed = r.Failed
		in.Answer = r.Answer
		if len(r.Answer) > MaxAnswerBytes {
			in.Answer = nil
			in.Dropped = true
		}
	case ccwork.NotRun:
		in.State = Free
	default:
		return
	}
	in.At = at
	b.Intents[id] = in
}

// Prune deletes the records that were last written before a wall-clock time.
func (b *Bucket) Prune(before int64) {
	for id, in := range b.Intents {
		if in.At < before {
			delete(b.Intents, id)
		}
	}
}

// Result returns the result for a repeat of the request when another attempt has the claim: the stored result if there
// is one, or else Unknown.
func (in *Intent) Result() ccwork.Result {
	if in.State == Ran && !in.Dropped {
		return ccwork.Result{Outcome: ccwork.Ran, Failed: in.Failed, Answer: in.Answer}
	}
	return ccwork.UnknownResult(ccwork.ErrInProgress)
}
