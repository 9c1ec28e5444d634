// Package lossreport computes from the nodes' logs which requests were lost: how many were
// refused or failed in each interval, with which code and for what cause.
//
// It is for analysis after an incident. The request path writes the lines; nothing here runs on
// it.
package lossreport
