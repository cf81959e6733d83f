// Package fakes provides the fake disk and network for tests of state machines.
package fakes
