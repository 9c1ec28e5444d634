package request

import (
	"encoding/json"
	"strconv"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/result"
)

// readPriority takes the caller's wish out of the body. Left there it would reach the
// engine as it came: any caller could put its bulk work before everybody's, which would
// show as urgent requests that wait behind it.
func (b *chatBody) readPriority() error {
	raw, given := b.fields[fieldPriority]
	delete(b.fields, fieldPriority)
	if !given || isNull(raw) {
		return nil
	}
	var wish int64
	if json.Unmarshal(raw, &wish) != nil {
		return result.New(result.MalformedRequest, "priority isn't a whole number")
	}
	b.priority = &wish
	return nil
}

// priorityWithin returns the request's priority: what its caller asked for, at most
// that of its account. Higher goes first.
func (b *chatBody) priorityWithin(account *operatorv1.Account) int {
	most := int64(account.GetPriority())
	if b.priority == nil {
		return int(most)
	}
	return int(max(config.MinPriority, min(*b.priority, most)))
}

// setPriority writes the priority as the service's engines read it.
func (b *chatBody) setPriority(order operatorv1.PriorityOrder, priority int) {
	switch order {
	case operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST:
		b.fields[fieldPriority] = json.RawMessage(strconv.Itoa(-priority))
	case operatorv1.PriorityOrder_PRIORITY_ORDER_HIGHER_FIRST:
		b.fields[fieldPriority] = json.RawMessage(strconv.Itoa(priority))
	}
}
