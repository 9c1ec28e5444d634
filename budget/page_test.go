package budget

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// A fleet holds more budgets than one answer to an operator can carry. Read page by
// page each must come once, and the last page must say that it is the last.
func TestPagesListEachBudgetOnce(t *testing.T) {
	is := is.New(t)
	m := newModel()
	const budgets, limit = 25, 10
	for i := range budgets {
		topUp := &operatorv1.TopUp{Id: fmt.Sprint(i), Budget: fmt.Sprintf("b%02d", i), Tokens: 5}
		m.apply("n0", &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{TopUp: topUp}}})
	}
	var names []string
	after, pages := "", 0
	for more := true; more; more = after != "" {
		var lines []Line
		lines, after = m.ledger.Page(after, limit)
		for _, line := range lines {
			names = append(names, line.Budget)
			is.Equal(line.Prepaid, uint64(5))
		}
		pages++
	}
	is.Equal(pages, 3)
	is.Equal(len(names), budgets)
	for i, name := range names {
		is.Equal(name, fmt.Sprintf("b%02d", i))
	}
}
