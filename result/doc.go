// Package result holds the numbered result codes that callers and operators see.
//
// Every refusal or failure that leaves a node carries one code. The table in
// docs/RESULT-CODES.md lists them all; a test compares it with this package.
package result
