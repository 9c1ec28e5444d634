package lossreport

import (
	"strconv"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// Cause is the reason why a request was lost.
type Cause string

// Served is the cause of requests that were not lost.
const Served Cause = "served"

// Causes of refusals for lack of tokens, see refusalCause.
const (
	// accountExhausted: the account's remaining tokens don't cover the request on any node.
	accountExhausted Cause = "tokens: account exhausted"
	// keptForSmaller: what is left of the account is kept for smaller requests.
	keptForSmaller Cause = "tokens: kept for smaller requests"
	// allocationExhausted: the node's ceiling is exhausted, and no other node could lend.
	allocationExhausted Cause = "tokens: node allocation exhausted"
	// limitBelowAllocation: the node's ceiling covers the request but its limits don't, since it
	// could not report.
	limitBelowAllocation Cause = "tokens: limit of a node that can't report"
)

// callerLeftUnread: the caller left, and most of the time until then the request had waited for the node to
// read it, for want of processor time.
const callerLeftUnread Cause = "caller left, read late"

// callerLeftBehindLink: the caller left, and most of the time until then messages of the node waited on its link.
const callerLeftBehindLink Cause = "caller left, full link"

// causeOf returns a line's cause and whether the line ends a request.
func causeOf(l *event.LogLine) (Cause, bool) {
	switch l.Number {
	case event.RequestRefused:
		return refusalCause(l), true
	case event.RequestEnded:
		if l.Fields["outcome"] == "caller_left" && 2*intField(l, "unread_ms") > intField(l, "ms") {
			return callerLeftUnread, true
		}
		if l.Fields["outcome"] == "caller_left" && 2*intField(l, "link_ms") > intField(l, "ms") {
			return callerLeftBehindLink, true
		}
		return endCause(l.Fields["outcome"])
	}
	return "", false
}

func refusalCause(l *event.LogLine) Cause {
	resultCode := result.Code(intField(l, "code"))
	switch {
	case resultCode == result.BudgetSpent:
		return accountExhausted
	case resultCode == result.KeptForSmaller:
		return keptForSmaller
	case resultCode == result.BudgetReserved && intField(l, "spent")+intField(l, "held")+intField(l, "tokens") <= intField(l, "ceiling"):
		return limitBelowAllocation
	case resultCode == result.BudgetReserved:
		return allocationExhausted
	}
	return Cause(resultCode.String())
}

// endCause returns the cause of outcomes for which no refusal was logged.
func endCause(outcome string) (Cause, bool) {
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
	return "", false // the refusal is counted
}

// intField parses a field. Absent or corrupt fields, as in truncated lines, count as zero.
func intField(l *event.LogLine, field string) int64 {
	n, _ := strconv.ParseInt(l.Fields[field], 10, 64)
	return n
}
