// Package request runs the life of one request: authenticate, reserve, pick,
// dispatch, pass the answer on whole, settle.
package request
