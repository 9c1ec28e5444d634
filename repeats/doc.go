// Package repeats implements retry budgets, which bound the load that a node adds by retrying
// requests.
//
// All nodes share one budget per service: in each window a ratio of the requests to the service,
// plus a fixed number. Each node limits itself to that ratio of its own requests and to an equal
// part of the fixed number, so that the total holds without coordination, even during a network
// partition.
package repeats
