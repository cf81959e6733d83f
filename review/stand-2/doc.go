// Command stand-2 runs the scripts of the second review: it starts the real programs on loopback
// addresses and stands in for the executors, the provider, the operator and the clients.
package main
