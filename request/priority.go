package request

import (
	"encoding/json"
	"strconv"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/result"
)

// readPriority removes the requested priority from the body. If it reached the engine
// unchanged, any caller could put its bulk work before everybody else's, and urgent
// requests would wait behind it.
func (b *chatBody) readPriority() error {
	raw, given := b.fields[fieldPriority]
	delete(b.fields, fieldPriority)
	if !given || isNull(raw) {
		return nil
	}
	var requested int64
	if json.Unmarshal(raw, &requested) != nil {
		return result.New(result.MalformedRequest, "priority isn't a whole number")
	}
	b.priority = &requested
	return nil
}

// effectivePriority returns the priority that the caller requested, capped at the account's.
// Higher values go first.
func (b *chatBody) effectivePriority(account *operatorv1.Account) int {
	limit := int64(account.GetPriority())
	if b.priority == nil {
		return int(limit)
	}
	return int(max(config.MinPriority, min(*b.priority, limit)))
}

// setPriority writes the priority in the order that the service's engines use.
func (b *chatBody) setPriority(order operatorv1.PriorityOrder, priority int) {
	switch order {
	case operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST:
		b.fields[fieldPriority] = json.RawMessage(strconv.Itoa(-priority))
	case operatorv1.PriorityOrder_PRIORITY_ORDER_HIGHER_FIRST:
		b.fields[fieldPriority] = json.RawMessage(strconv.Itoa(priority))
	}
}
