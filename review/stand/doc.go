// Stand runs the review's cases against the built program: it starts a small deployment on loopback
// addresses and plays the platform, the executors, the operator and the clients around it.
package main
