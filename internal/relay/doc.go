// Package relay sends orders to workers through processes in the workers' data centres, so that the
// process that schedules neither keeps connections to all workers nor encodes each call to them.
//
// A Sender is the scheduling process's part. It implements mill.WorkerOrders, sends each order to a
// relay in the worker's data centre, and calls the worker directly where no relay answers. A Server is the
// relay's part: it carries the orders out and returns the replies. A relay decides nothing and keeps no
// state of a worker.
//
// An order through a relay gives the same guarantees as a direct call. One without a reply may have been
// carried out or may yet be. A relay does not carry out an order that has become too old on the way, nor
// one of an earlier term.
package relay
