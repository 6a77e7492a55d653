// Package ccintent keeps the intents of non-idempotent requests. An intent is written to the
// store before the first byte goes to a worker; whoever finds one of another claim must not send.
package ccintent

import (
	"coriandercross/core/ccwork"
)

// State is how far a non-idempotent request has come.
type State string

const (
	// Claimed means that a process may have sent the request to a worker.
	Claimed State = "Claimed"
	// Ran means that the request ran and the answer is known.
	Ran State = "Ran"
	// Free means that the request did not run, and that any process may claim it.
	Free State = "Free"
)

// Intent is the record of one request.
type Intent struct {
	State State
	// Claim is unique to one attempt of one process.
	Claim string
	// At is when the record was last written, in Unix milliseconds of the writer's wall clock.
	At int64
	// Failed and Answer are the first outcome, kept when the answer is small.
	Failed bool   `json:",omitempty"`
	Answer []byte `json:",omitempty"`
	// Dropped is true when the answer was too large to keep.
	Dropped bool `json:",omitempty"`
}

// Bucket is one bucket of intents, kept as one value of the store.
type Bucket struct {
	Intents map[string]Intent
}

// MaxAnswerBytes is the largest answer kept for repeats, in bytes.
const MaxAnswerBytes = 2048

// Claim records that an attempt is about to send the request. It returns the record that holds
// after the call: the attempt may send only if the claim in it is its own. Applying it twice has
// the effect of applying it once.
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

// RecordOutcome records the outcome of the attempt that holds the claim. An Unknown outcome leaves the
// record as it is. Applying it twice has the effect of applying it once.
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

// Prune drops records last written before the given wall-clock time.
func (b *Bucket) Prune(before int64) {
	for id, in := range b.Intents {
		if in.At < before {
			delete(b.Intents, id)
		}
	}
}

// Result returns what a repeat of the request is told, given that another attempt holds the record.
func (in *Intent) Result() ccwork.Result {
	if in.State == Ran && !in.Dropped {
		return ccwork.Result{Outcome: ccwork.Ran, Failed: in.Failed, Answer: in.Answer}
	}
	return ccwork.UnknownResult(ccwork.ErrInProgress)
}
