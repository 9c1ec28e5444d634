package lossreport

import (
	"strconv"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// Cause names why a request was lost.
type Cause string

// Served is the cause of no loss.
const Served Cause = "served"

// Causes of refusals for want of tokens: see cause.
const (
	// accountUsedUp: what is left of the account doesn't cover the request on any node.
	accountUsedUp Cause = "tokens: account used up"
	// partUsedUp: the node's ceiling is used up, and no other node could lend.
	partUsedUp Cause = "tokens: node's part used up"
	// limitBelowPart: the node's ceiling covers the request, its limits don't, since it
	// could not report.
	limitBelowPart Cause = "tokens: limit of a node without the store"
)

// cause reads the cause out of a line, and whether the line ends a request.
func cause(l *event.LogLine) (Cause, bool) {
	switch l.Number {
	case event.RequestRefused:
		return refusal(l), true
	case event.RequestEnded:
		return ended(l.Fields["outcome"])
	}
	return "", false
}

func refusal(l *event.LogLine) Cause {
	code := result.Code(number(l, "code"))
	switch {
	case code == result.BudgetSpent:
		return accountUsedUp
	case code == result.BudgetReserved && number(l, "spent")+number(l, "held")+number(l, "tokens") <= number(l, "ceiling"):
		return limitBelowPart
	case code == result.BudgetReserved:
		return partUsedUp
	}
	return Cause(code.String())
}

// ended names the outcomes that no refusal was logged for.
func ended(outcome string) (Cause, bool) {
	switch outcome {
	case "served":
		return Served, true
	case "cut":
		return "cut midway", true
	case "upstream_failed":
		return "upstream failed", true
	case "caller_left":
		return "caller left", true
	}
	return "", false // a refusal tells it
}

// number reads a field; absent or torn fields count as zero, as a cut line leaves them.
func number(l *event.LogLine, field string) int64 {
	n, _ := strconv.ParseInt(l.Fields[field], 10, 64)
	return n
}
