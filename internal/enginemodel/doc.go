// Package enginemodel is a discrete-event simulation of a language-model inference engine
// for comparing routing policies. It runs in simulated time: nothing sleeps, and the same
// seed gives the same run.
//
// The simulation covers continuous batching in steps, where each step prefills a bounded
// chunk of prompt tokens and decodes one token of every other running sequence; a
// limited number of batch slots; KV memory in blocks with a least-recently-used
// prefix cache over unreferenced blocks; priorities; cancellation; delayed load
// reports, and cache events that are delayed and partly lost; and injected faults:
// slow, hanging or dead engines, errors, and answers delivered to the wrong request.
//
// The parameters in DefaultParams are ASSUMED. They are of the order of magnitude of a
// mid-sized model on one accelerator, chosen so that prefill of a long prompt
// costs about as much as decoding a short answer. None was measured on real
// hardware. Conclusions drawn from the simulation are about the ranking of policies, not
// about absolute times.
//
// Simplifications: when a sequence gets a slot, memory is reserved for its prompt and its
// longest possible answer, so a sequence is never preempted; only prompt blocks enter
// the prefix cache, not answer blocks; the duration of a step is linear in its tokens.
package enginemodel
