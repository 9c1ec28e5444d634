package capacity

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
)

// Names have realistic lengths: an incarnation is a UUID.
func incarnationName(i int) string { return fmt.Sprintf("3f2b8c1e-5a77-4d0e-9a6c-%012d", i) }
func budgetName(i int) string      { return fmt.Sprintf("account-%05d-summaries-%02d", i/5, i%5) }
func accountName(i int) string     { return fmt.Sprintf("account-%05d", i) }

func nodeInfo(i int) *recordv1.NodeInfo {
	return &recordv1.NodeInfo{
		Incarnation: incarnationName(i), PeerAddress: fmt.Sprintf("10.%d.%d.20:7004", i/250, i%250),
		HttpAddress: fmt.Sprintf("10.%d.%d.20:7001", i/250, i%250), OperatorAddress: fmt.Sprintf("10.%d.%d.20:7003", i/250, i%250),
		Region: "southern-new-england", DataCentre: fmt.Sprintf("buzzards-%02d", i%16),
	}
}

func heartbeat(i int, number uint64) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{Node: nodeInfo(i), Number: number, RightMs: 1_800_000}}}
}

func topUp(i int) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{Operator: "billing", TopUp: &operatorv1.TopUp{
		Id: fmt.Sprintf("invoice-2028-%08d", i), Budget: budgetName(i), Tokens: 1 << 40}}}}
}

func shareClaim(i int) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: budgetName(i), Tokens: 20_000_000}}}
}

// settlements returns an entry with n settlements of an incarnation, counted from first.
func settlements(incarnation, first, n int) *recordv1.Entry {
	batch := &recordv1.SettlementBatch{Incarnation: incarnationName(incarnation), OldestOpen: uint64(first)}
	for i := range n {
		id := budget.RequestID{Incarnation: incarnationName(incarnation), Counter: uint64(first + i)}
		batch.Settlements = append(batch.Settlements, &recordv1.Settlement{Request: id.String(), Budget: budgetName(i % 50), Tokens: 221})
	}
	return &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}}
}

func newBatch(writer int, seq uint64, entries ...*recordv1.Entry) *recordv1.Batch {
	return &recordv1.Batch{Writer: incarnationName(writer), Seq: seq, Hlc: 1 << 57, Entries: entries}
}

func marshalBatch(batch *recordv1.Batch) []byte {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	return data
}

// batchApplier folds batches as a node does: it decodes and then applies them.
type batchApplier struct {
	ledger *budget.Ledger
	config *config.State
	engine *fold.Engine
	offset uint64
}

func newBatchApplier() *batchApplier {
	a := &batchApplier{ledger: budget.NewLedger(), config: config.NewState(nil)}
	a.engine = fold.NewEngine(a.config, a.ledger)
	return a
}

func (a *batchApplier) apply(data []byte) {
	batch := &recordv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		panic(err)
	}
	a.offset++
	a.engine.Apply(a.offset, batch)
}

// The resources returned by accountResource, budgetResource, upstreamResource and
// serviceResource have realistic lengths.
func accountResource(i int) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
		Name: accountName(i), Team: fmt.Sprintf("team-%02d", i%40), KeySha256: []string{config.HashKey(accountName(i))}}}}
}

func budgetResource(i int) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{
		Name: budgetName(i), Account: accountName(i / 5), Services: []string{fmt.Sprintf("service-%02d", i%38)}}}}
}

func upstreamResource(i int) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
		Name: fmt.Sprintf("engine-%05d", i), Service: fmt.Sprintf("service-%02d", i%38), Address: fmt.Sprintf("10.200.%d.%d:8000", i/250, i%250),
		Region: "southern-new-england", DataCentre: fmt.Sprintf("buzzards-%02d", i%16), ChecksFencing: true}}}
}

func serviceResource(i int) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{
		Name: fmt.Sprintf("service-%02d", i), Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{fmt.Sprintf("model-%02d", i)}}}}
}

// configChange returns an entry that sets the given resources in one change.
func configChange(id string, resources ...*operatorv1.Resource) *recordv1.Entry {
	message := &recordv1.ConfigChange{ChangeId: id, Operator: "desk"}
	for _, r := range resources {
		message.Changes = append(message.Changes, &operatorv1.Change{AnyVersion: true, Resource: r})
	}
	return &recordv1.Entry{Body: &recordv1.Entry_Config{Config: message}}
}
