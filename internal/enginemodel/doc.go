// Package enginemodel is a discrete-event model of a language-model engine, good
// enough to compare routing policies by. It runs in model time: nothing sleeps, and
// the same seed gives the same run.
//
// What is modelled: continuous batching in steps, where each step prefills a bounded
// chunk of prompt tokens and decodes one token of every other running sequence; a
// limited number of batch slots; KV memory in blocks with a least-recently-used
// prefix cache over blocks that no sequence uses; priorities; cancellation; load
// reports that lag and cache events that come late and with gaps; and faults by
// switch: slow, hanging, dead, erroring, crossing answers.
//
// The parameters in DefaultParams are ASSUMED. They are of the order of what a
// mid-sized model on one accelerator does, chosen so that prefill of a long prompt
// costs about as much as decoding a short answer. None was measured on real
// hardware. Conclusions drawn from this model are about the order of policies, not
// about absolute times.
//
// Simplifications: memory for a sequence is reserved for its prompt and its longest
// possible answer when it gets a slot, so a sequence is never pre-empted; only
// blocks of prompts enter the prefix cache, not those of answers; the time of a step
// is linear in its tokens.
package enginemodel
