package idempotency

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// join finds the call among those held, or claims it; nil when another node owns it.
func (r *Runner) join(call Call) (*heldCall, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.held[call.ID]; held != nil {
		if held.call.Digest != call.Digest {
			return nil, reused(call.ID.Key)
		}
		held.waiters++
		return held, nil
	}
	if _, claimed := r.Claims.Get(call.ID); claimed {
		return nil, nil
	}
	held := newHeldCall(call, claiming)
	held.waiters = 1
	held.claim = r.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_CallClaim{
		CallClaim: &recordv1.CallClaim{Account: call.ID.Account, Key: call.ID.Key, Digest: call.Digest[:]},
	}})
	r.held[call.ID] = held
	go r.awaitClaim(held, held.changed)
	return held, nil
}

func reused(key string) error {
	return result.New(result.KeyReused, "key %q was used with another request", key)
}

// awaitClaim takes the verdict on a claim, however late the log shows it. A claim that
// was withdrawn gets none; waited for, each call of a long outage would leave a
// goroutine behind.
func (r *Runner) awaitClaim(held *heldCall, withdrawn <-chan struct{}) {
	select {
	case verdict := <-held.claim.Done():
		r.claimed(held, verdict)
	case <-withdrawn:
	case <-r.stopped:
	}
}

func (r *Runner) claimed(held *heldCall, verdict fold.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held.phase != claiming {
		return
	}
	if !verdict.OK() {
		held.err = verdict.Err()
		r.drop(held, lost)
		return
	}
	r.Events.Record(event.CallClaimed, "account", held.call.ID.Account, "key", held.call.ID.Key, "offset", verdict.Offset)
	held.move(free)
	if held.waiters == 0 {
		// Every caller was told that its try did not run. Kept, the claim would
		// block the key until this node ends and make its outcome unknown then.
		r.release(held)
	}
}

func (r *Runner) drop(held *heldCall, to phase) {
	if r.held[held.call.ID] == held {
		delete(r.held, held.call.ID)
	}
	held.move(to)
}

// release gives the claim of a call that certainly did not run up. The call stays
// held until the log shows it: a claim made before would lose against the old one.
func (r *Runner) release(held *heldCall) {
	held.move(claiming)
	ticket := r.Log.Submit(outcome(held.call.ID, recordv1.CallEnd_CALL_END_NOT_RUN, Response{}))
	go func() {
		select {
		case <-ticket.Done():
		case <-r.stopped:
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.drop(held, lost)
	}()
}

// refusesForGood tells that a lost claim is worth no second look.
func refusesForGood(err error) bool {
	code := result.CodeOf(err)
	return code == result.KeyReused || code == result.KeysExhausted
}
