package budget

import (
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a request billed twice that both a witness and its own node settle, the
// node having lived behind a cut.
func TestWitnessAndNodeSettleSameRequest(t *testing.T) {
	is := is.New(t)
	m := newModel()
	node, witness := m.addNode(), m.addNode()
	m.fund(is, node)
	reserved, err := node.Reserve("b", 100)
	is.NoErr(err)
	reserved.Finish(70)
	own := node.TakeSettlements()
	theirs := &recordv1.SettlementBatch{Incarnation: node.Incarnation(), Settlements: own.GetSettlements()}
	is.True(m.apply(witness.Incarnation(), settlementsEntry(theirs)).OK())
	is.Equal(m.ledger.Budget("b").Spent, uint64(70))
	is.True(m.apply(node.Incarnation(), settlementsEntry(own)).OK())
	is.Equal(m.ledger.Budget("b").Spent, uint64(70))
	is.Equal(m.ledger.Excess(), uint64(0))
	is.True(m.ledger.IsOpen(node.Incarnation())) // it may go on
}

// Guards against a closed incarnation, whose word may be old, settling for an open one.
func TestClosedNodeCannotSettleForOpenNode(t *testing.T) {
	is := is.New(t)
	m := newModel()
	node, witness := m.addNode(), m.addNode()
	m.fund(is, node)
	m.apply(node.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{
		Incarnation: witness.Incarnation(), LastHeartbeat: witness.beats,
	}}})
	verdict := m.apply(witness.Incarnation(), settlementsEntry(&recordv1.SettlementBatch{
		Incarnation: node.Incarnation(), Settlements: []*recordv1.Settlement{{Request: node.Incarnation() + ".1", Budget: "b", Tokens: 5}},
	}))
	is.Equal(verdict.Code, result.NotHolder)
	is.Equal(m.ledger.Budget("b").Spent, uint64(0))
}

// fund gives a node 1,000 tokens of the budget.
func (m *model) fund(is *is.I, n *modelNode) {
	m.apply("operator", &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: "first", Budget: "b", Tokens: 1_000}}}})
	claim := m.apply(n.Incarnation(), &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: "b", Tokens: 1_000}}})
	is.True(claim.OK())
	n.Credit("b", claim.Tokens)
}
