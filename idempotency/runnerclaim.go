package idempotency

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// join returns the entry of a call, claiming the call if nobody has. It returns nil if
// the log already has a claim and this node has no entry for it.
func (r *Runner) join(call Call) (*callEntry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry := r.calls[call.ID]; entry != nil {
		if entry.call.Digest != call.Digest {
			return nil, keyReusedError(call.ID.Key)
		}
		entry.waiters++
		return entry, nil
	}
	if _, claimed := r.Claims.Get(call.ID); claimed {
		return nil, nil
	}
	entry := newCallEntry(call, claiming)
	entry.waiters = 1
	entry.claim = r.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_CallClaim{
		CallClaim: &recordv1.CallClaim{Account: call.ID.Account, Key: call.ID.Key, Digest: call.Digest[:]},
	}})
	r.calls[call.ID] = entry
	go r.awaitClaim(entry, entry.changed)
	return entry, nil
}

func keyReusedError(key string) error {
	return result.New(result.KeyReused, "key %q was used with another request", key)
}

// awaitClaim waits for the verdict on a claim, however late it is read from the log. A
// withdrawn claim gets no verdict: waiting for one would leak a goroutine for each call
// during a long outage.
func (r *Runner) awaitClaim(entry *callEntry, withdrawn <-chan struct{}) {
	select {
	case verdict := <-entry.claim.Done():
		r.resolveClaim(entry, verdict)
	case <-withdrawn:
	case <-r.stopped:
	}
}

func (r *Runner) resolveClaim(entry *callEntry, verdict fold.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.phase != claiming {
		return
	}
	if !verdict.OK() {
		entry.err = verdict.Err()
		r.drop(entry, dropped)
		return
	}
	r.Events.Record(event.CallClaimed, "account", entry.call.ID.Account, "key", entry.call.ID.Key, "offset", verdict.Offset)
	entry.setPhase(ready)
	if entry.waiters == 0 {
		// Every caller was told that its attempt did not run. If the claim were kept, the
		// key would be blocked until this node ends, and its outcome unknown after that.
		r.release(entry)
	}
}

func (r *Runner) drop(entry *callEntry, p phase) {
	if r.calls[entry.call.ID] == entry {
		delete(r.calls, entry.call.ID)
	}
	entry.setPhase(p)
}

// release gives up the claim of a call that certainly did not run. The entry stays until
// the release is read back from the log: an earlier new claim would conflict with the old one.
func (r *Runner) release(entry *callEntry) {
	entry.setPhase(claiming)
	ticket := r.Log.Submit(outcomeEntry(entry.call.ID, recordv1.CallEnd_CALL_END_NOT_RUN, Response{}))
	go func() {
		select {
		case <-ticket.Done():
		case <-r.stopped:
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.drop(entry, dropped)
	}()
}

// isPermanentRefusal reports whether claiming the key again can't succeed.
func isPermanentRefusal(err error) bool {
	code := result.CodeOf(err)
	return code == result.KeyReused || code == result.KeysExhausted
}
