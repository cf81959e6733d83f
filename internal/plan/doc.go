// Package plan holds the decisions of the scheduler as pure functions: what to
// start first and where, whom to hold back from, what to ask the advisor and what
// to refuse. Time and all that is known come in as values. Each file says which
// load its decision is for.
package plan
