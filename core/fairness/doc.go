// Package fairness tells which teams take more than their share of a pool that has too little room for all.
//
// The work that a pool can do is divided by weighted max-min fairness: a team that asks for less than its share gets all of it, and what
// it leaves is divided among the others in proportion to their weights.
//
// No function reads the clock; callers pass the current time.
package fairness
