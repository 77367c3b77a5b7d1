// Package restore decides what stays in force after a store was restored from a copy.
//
// Such a store has lost its last changes. What it had acknowledged as withdrawn, such as a target that drains, may be back in it until
// its owner withdraws it once more. Memory keeps these withdrawals in force meanwhile.
//
// No function reads the clock; callers pass the current time.
package restore
