package budget

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// model is a ledger with the real holders of several nodes, and what each request
// was truly billed. Actions append entries in a generated order; some arrive late,
// twice or never.
type model struct {
	ledger  *Ledger
	offset  uint64
	nodes   []*modelNode
	billed  map[string]uint64
	topUps  []*operatorv1.TopUp
	prepaid uint64
	// held back entries arrive in a later action, perhaps twice.
	held []heldEntry
}

type modelNode struct {
	*ShareHolder
	beats uint64
	open  []*Reservation
	dead  bool
}

type heldEntry struct {
	writer string
	entry  *recordv1.Entry
}

func newModel() *model { return &model{ledger: NewLedger(), billed: map[string]uint64{}} }

func (m *model) apply(writer string, entry *recordv1.Entry) fold.Verdict {
	m.offset++
	verdict, _ := m.ledger.Apply(fold.Position{Offset: m.offset, Writer: writer}, entry)
	return verdict
}

func (m *model) addNode() *modelNode {
	clock := clockwork.NewFakeClock()
	n := &modelNode{ShareHolder: NewShareHolder(fmt.Sprint("n", len(m.nodes)), clock)}
	n.ExtendRight(clock.Now().Add(1 << 40))
	m.nodes = append(m.nodes, n)
	m.beat(n)
	return n
}

func (m *model) beat(n *modelNode) {
	n.beats++
	m.apply(n.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
		Number: n.beats, Node: &recordv1.NodeInfo{PeerAddress: n.Incarnation()},
	}}})
}

func settlementsEntry(batch *recordv1.SettlementBatch) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}}
}

func (m *model) check(t *rapid.T) {
	line := m.ledger.Budget("b")
	if !line.Conserved() || line.Spent > line.Prepaid || line.Prepaid != m.prepaid {
		t.Fatalf("ledger doesn't add up: %+v, prepaid %d", line, m.prepaid)
	}
	if m.ledger.Excess() != 0 {
		t.Fatalf("settled %d beyond a share", m.ledger.Excess())
	}
	if line.Spent > m.totalBilled() {
		t.Fatalf("billed %d, requests used %d", line.Spent, m.totalBilled())
	}
}

func (m *model) totalBilled() uint64 {
	total := uint64(0)
	for _, tokens := range m.billed {
		total += tokens
	}
	return total
}

// Entries reach the log in any order: settlements late, twice or after a close,
// claims and moves against a closed node, top-ups repeated. However they come, no
// token may be in two places and no request may be billed twice; an operator would
// see an account above its budget.
func TestLedgerConservesTokensInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.addNode()
		m.addNode()
		node := func(t *rapid.T) *modelNode { return rapid.SampledFrom(m.nodes).Draw(t, "node") }
		tokens := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, 400).Draw(t, "tokens") }
		t.Repeat(map[string]func(*rapid.T){
			"":      m.check,
			"node":  func(t *rapid.T) { m.limitNodes(t); m.addNode() },
			"beat":  func(t *rapid.T) { m.beat(node(t)) },
			"topUp": func(t *rapid.T) { m.topUp(t, tokens(t)) },
			"topUpAgain": func(t *rapid.T) {
				if len(m.topUps) > 0 {
					m.applyTopUp(rapid.SampledFrom(m.topUps).Draw(t, "top-up"))
				}
			},
			"claim":   func(t *rapid.T) { m.claim(node(t), tokens(t)) },
			"return":  func(t *rapid.T) { m.giveBack(node(t), tokens(t)) },
			"move":    func(t *rapid.T) { m.move(node(t), node(t), tokens(t)) },
			"reserve": func(t *rapid.T) { m.reserve(node(t), tokens(t)) },
			"finish":  func(t *rapid.T) { m.finish(node(t), tokens(t)) },
			"settle":  func(t *rapid.T) { m.settle(node(t), rapid.Bool().Draw(t, "late")) },
			"arrive":  func(t *rapid.T) { m.arrive(t) },
			"close":   func(t *rapid.T) { m.close(node(t)) },
			"recover": func(t *rapid.T) { m.recover(node(t), rapid.Bool().Draw(t, "lost")) },
			"restore": func(t *rapid.T) { m.restore(t) },
		})
		m.finishAll()
		m.check(t)
		if spent := m.ledger.Budget("b").Spent; spent != m.totalBilled() {
			t.Fatalf("billed %d, requests used %d", spent, m.totalBilled())
		}
	})
}

func (m *model) limitNodes(t *rapid.T) {
	if len(m.nodes) > 5 {
		t.Skip("enough nodes")
	}
}

func (m *model) topUp(t *rapid.T, tokens uint64) {
	topUp := &operatorv1.TopUp{Id: fmt.Sprint("t", len(m.topUps)), Budget: "b", Tokens: tokens}
	m.topUps = append(m.topUps, topUp)
	m.prepaid += tokens
	m.applyTopUp(topUp)
}

func (m *model) applyTopUp(topUp *operatorv1.TopUp) {
	m.apply("operator", &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{TopUp: topUp}}})
}

func (m *model) claim(n *modelNode, tokens uint64) {
	verdict := m.apply(n.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: "b", Tokens: tokens}}})
	if verdict.OK() {
		n.Credit("b", verdict.Tokens)
	}
}

func (m *model) giveBack(n *modelNode, tokens uint64) {
	taken := n.Debit("b", tokens)
	verdict := m.apply(n.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_ShareReturn{ShareReturn: &recordv1.ShareReturn{Budget: "b", Tokens: taken}}})
	if !verdict.OK() {
		n.Credit("b", taken)
	}
}

func (m *model) move(from, to *modelNode, tokens uint64) {
	taken := from.Debit("b", tokens)
	verdict := m.apply(from.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_ShareMove{ShareMove: &recordv1.ShareMove{Budget: "b", To: to.Incarnation(), Tokens: taken}}})
	if verdict.OK() {
		to.Credit("b", taken)
	} else {
		from.Credit("b", taken)
	}
}

func (m *model) reserve(n *modelNode, tokens uint64) {
	if n.dead {
		return
	}
	if r, err := n.Reserve("b", tokens); err == nil {
		n.open = append(n.open, r)
	}
}

func (m *model) finish(n *modelNode, used uint64) {
	if n.dead || len(n.open) == 0 {
		return
	}
	r := n.open[0]
	n.open = n.open[1:]
	r.Finish(used)
	m.billed[r.ID.String()] = min(used, r.Tokens)
}

func (m *model) settle(n *modelNode, late bool) {
	batch := n.TakeSettlements()
	if batch == nil {
		return
	}
	entry := settlementsEntry(batch)
	if late || m.holdsOf(n) {
		m.held = append(m.held, heldEntry{n.Incarnation(), entry})
		return
	}
	m.apply(n.Incarnation(), entry)
}

// holdsOf tells whether an earlier batch of the node is held back. A writer appends
// its batches in order, so later ones wait behind.
func (m *model) holdsOf(n *modelNode) bool {
	for _, held := range m.held {
		if held.writer == n.Incarnation() {
			return true
		}
	}
	return false
}

// arrive lets a held entry in, and sometimes keeps it to come again.
func (m *model) arrive(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	m.apply(m.held[0].writer, m.held[0].entry)
	if rapid.Bool().Draw(t, "once") {
		m.held = m.held[1:]
	}
}

// close ends a node: what it reserves afterwards is nobody's.
func (m *model) close(n *modelNode) {
	if n.dead || len(m.nodes) < 2 {
		return
	}
	n.dead = true
	n.RevokeRight()
	m.apply("another", &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{
		Incarnation: n.Incarnation(), LastHeartbeat: n.beats,
	}}})
}

// recover settles from what a witness knows of a closed node: all that it finished
// and the worst case of what it had open.
func (m *model) recover(n *modelNode, lost bool) {
	by := m.nodes[len(m.nodes)-1]
	if !n.dead || by.dead || !m.ledger.Known(n.Incarnation()) {
		return
	}
	batch := &recordv1.SettlementBatch{Incarnation: n.Incarnation()}
	for _, r := range n.open {
		m.billed[r.ID.String()] = r.Tokens
	}
	for id, tokens := range m.billed {
		if parsed, _ := ParseRequestID(id); parsed.Incarnation == n.Incarnation() && tokens > 0 {
			batch.Settlements = append(batch.Settlements, &recordv1.Settlement{Request: id, Budget: "b", Tokens: tokens})
		}
	}
	m.apply(by.Incarnation(), settlementsEntry(batch))
	m.apply(by.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{
		Incarnation: n.Incarnation(), Lost: lost,
	}}})
}

// restore replaces the ledger by one read back from its snapshot.
func (m *model) restore(t *rapid.T) {
	data, err := m.ledger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := NewLedger()
	if err := again.Restore(data); err != nil {
		t.Fatal(err)
	}
	m.ledger = again
}

// finishAll lets everything arrive that is under way; then what was used must be
// billed to the last token.
func (m *model) finishAll() {
	for _, n := range m.nodes {
		m.settle(n, true)
	}
	for _, held := range m.held {
		m.apply(held.writer, held.entry)
	}
}

// A top-up whose answer was lost is sent again, perhaps years later from the same
// file. Its tokens must count once, however many top-ups there are; beyond the bound
// the budget refuses instead of forgetting.
func TestTopUpsAreBoundedAndDeduplicated(t *testing.T) {
	is := is.New(t)
	m := newModel()
	for i := range MaxTopUps {
		m.applyTopUp(&operatorv1.TopUp{Id: fmt.Sprint(i), Budget: "b", Tokens: 1})
	}
	m.applyTopUp(&operatorv1.TopUp{Id: "0", Budget: "b", Tokens: 1})
	verdict := m.apply("operator", &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: "one more", Budget: "b", Tokens: 1},
	}}})
	is.Equal(verdict.Code, result.TopUpsFull)
	is.Equal(m.ledger.Budget("b").Prepaid, uint64(MaxTopUps))
}

func topUpOf(id string, tokens uint64) *operatorv1.TopUp {
	return &operatorv1.TopUp{Id: id, Budget: "b", Tokens: tokens}
}
