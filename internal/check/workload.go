package check

import (
	"context"
	"fmt"
	"strings"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

const (
	workloadDuration    = 12 * time.Second
	meanRequestInterval = 120 * time.Millisecond
	minWords            = 6
	maxExtraWords       = 20
	topUpTokens         = 1_000
	promptPrefixes      = 3
	// prefixRepeats makes a prompt prefix longer than two cache blocks of 256 bytes.
	prefixRepeats = 70
)

// workload starts requests and operator changes for a while, each running independently, and
// returns after starting the last one. name keeps the prompts of several workloads apart.
func (h *Harness) workload(name string) {
	began := h.clock.Now()
	for i := 0; h.clock.Since(began) < workloadDuration; i++ {
		h.startRequest(fmt.Sprintf("%s-%d", name, i))
		switch i {
		case 20, 60:
			id := fmt.Sprintf("%s-top-up-%d", name, i)
			h.Go(func() { h.TopUp(h.randomMember(), id, budgetOf("poor"), topUpTokens) })
		case 30:
			h.declareModelVersion(name)
		case 25, 45, 65, 85:
			h.startChange(fmt.Sprintf("%s-change-%d", name, i), uint32(i))
		}
		h.clock.Sleep(meanRequestInterval/2 + time.Duration(h.intN(int(meanRequestInterval))))
	}
}

func (h *Harness) randomMember() *Member { return h.Members[h.intN(len(h.Members))] }

// startRequest starts one caller's request at a random node.
func (h *Harness) startRequest(name string) {
	m := h.randomMember()
	account := fixtureAccounts[0]
	if h.intN(4) == 0 {
		account = fixtureAccounts[1]
	}
	switch kind := h.intN(10); {
	case kind < 6:
		prompt := h.promptPrefix(account, name) + promptOf(name, minWords+h.intN(maxExtraWords))
		h.Go(func() { h.Chat(m, account, fixtureModel, prompt) })
	case kind < 8:
		h.Go(func() { h.Call(m, account, "POST", "order "+name, "") })
	case kind < 9:
		h.Go(func() { h.Call(m, account, "POST", "keyed "+name, "key-"+name) })
	default:
		h.Go(func() { h.Call(m, account, "GET", "look "+name, "") })
	}
}

// promptPrefix returns one of a few long prompt prefixes, each one word that spans two whole
// cache blocks. It is empty unless the history needs prefixes, and for the account whose
// budget runs out, so that the budget lasts as long as in other histories.
func (h *Harness) promptPrefix(account, id string) string {
	if !h.sharedPrefixes || account != fixtureAccounts[0] {
		return ""
	}
	number := 0
	for _, c := range []byte(id) {
		number += int(c)
	}
	return strings.Repeat(fmt.Sprintf("guide-%d-", number%promptPrefixes), prefixRepeats) + " "
}

func promptOf(id string, words int) string {
	parts := []string{id}
	for i := range words {
		parts = append(parts, fmt.Sprintf("w%d", i))
	}
	return strings.Join(parts, " ")
}

func (h *Harness) startChange(id string, value uint32) {
	m := h.randomMember()
	h.Go(func() { h.Change(m, id, value) })
}

// declareModelVersion declares another version of the model, so that engines get orders.
func (h *Harness) declareModelVersion(version string) {
	m := h.randomMember()
	h.Go(func() {
		_, _ = h.invoke(m, m.Gate(), func(ctx context.Context) error {
			_, err := m.operator.Apply(operatorContext(ctx), &operatorv1.ApplyRequest{ChangeId: "version-" + version,
				Changes: []*operatorv1.Change{{AnyVersion: true, Resource: engineServiceWithVersion(version)}}})
			return err
		})
	})
}
