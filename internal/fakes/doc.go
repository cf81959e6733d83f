// Package fakes has the fake disk and network of the state machine tests.
package fakes
