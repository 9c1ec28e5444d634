// Package queuedelay measures how long what a node receives and sends waits in queues that the node doesn't see, above all
// on the link of its instance, and decides when the node takes on no more.
//
// A process can't tell how long a request waited before its bytes arrived. An exchange with another node waits in the same
// queues, in both directions, and the process knows when it began.
package queuedelay
