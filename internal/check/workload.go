package check

import (
	"context"
	"fmt"
	"strings"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

const (
	workSpan     = 12 * time.Second
	workInterval = 120 * time.Millisecond
	minWords     = 6
	moreWords    = 20
	topUpTokens  = 1_000
	preambles    = 3
	// preambleRepeats makes a preamble longer than two blocks of 256 bytes.
	preambleRepeats = 70
)

// workload runs callers and operators for a while, each at its own pace; it
// returns when the last was started. name keeps prompts of several runs apart.
func (h *Harness) workload(name string) {
	began := h.clock.Now()
	for i := 0; h.clock.Since(began) < workSpan; i++ {
		h.request(fmt.Sprintf("%s-%d", name, i))
		switch i {
		case 20, 60:
			id := fmt.Sprintf("%s-top-up-%d", name, i)
			h.Go(func() { h.TopUp(h.anyMember(), id, budgetOf("poor"), topUpTokens) })
		case 30:
			h.wantVersion(name)
		case 25, 45, 65, 85:
			h.changeOnce(fmt.Sprintf("%s-change-%d", name, i), uint32(i))
		}
		h.clock.Sleep(workInterval/2 + time.Duration(h.draw(int(workInterval))))
	}
}

func (h *Harness) anyMember() *Member { return h.Members[h.draw(len(h.Members))] }

// request starts one caller's request at some node.
func (h *Harness) request(id string) {
	m := h.anyMember()
	account := sceneAccounts[0]
	if h.draw(4) == 0 {
		account = sceneAccounts[1]
	}
	switch kind := h.draw(10); {
	case kind < 6:
		prompt := h.preamble(account, id) + promptOf(id, minWords+h.draw(moreWords))
		h.Go(func() { h.Chat(m, account, sceneModel, prompt) })
	case kind < 8:
		h.Go(func() { h.Call(m, account, "POST", "order "+id, "") })
	case kind < 9:
		h.Go(func() { h.Call(m, account, "POST", "keyed "+id, "key-"+id) })
	default:
		h.Go(func() { h.Call(m, account, "GET", "look "+id, "") })
	}
}

// preamble returns one of a few long beginnings of prompts; empty unless the history
// needs them, and for the account whose budget has to run out as slowly as ever. Each
// is one word of two whole cache blocks.
func (h *Harness) preamble(account, id string) string {
	if !h.sharedPrompts || account != sceneAccounts[0] {
		return ""
	}
	number := 0
	for _, c := range []byte(id) {
		number += int(c)
	}
	return strings.Repeat(fmt.Sprintf("guide-%d-", number%preambles), preambleRepeats) + " "
}

func promptOf(id string, words int) string {
	parts := []string{id}
	for i := range words {
		parts = append(parts, fmt.Sprintf("w%d", i))
	}
	return strings.Join(parts, " ")
}

func (h *Harness) changeOnce(id string, value uint32) {
	m := h.anyMember()
	h.Go(func() { h.Change(m, id, value) })
}

// wantVersion declares another version of the model, so that engines get orders.
func (h *Harness) wantVersion(version string) {
	m := h.anyMember()
	h.Go(func() {
		_, _ = h.ask(m, m.Gate(), func(ctx context.Context) error {
			_, err := m.operator.Apply(operatorContext(ctx), &operatorv1.ApplyRequest{ChangeId: "version-" + version,
				Changes: []*operatorv1.Change{{AnyVersion: true, Resource: engineServiceAt(version)}}})
			return err
		})
	})
}
