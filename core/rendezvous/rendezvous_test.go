package rendezvous_test

import (
	"fmt"

	"damasklatch/core/rendezvous"
)

// If a name is removed, only the keys assigned to it move to other names.
func ExamplePick() {
	names := []string{"a", "b", "c", "d"}
	moved := 0
	for nr := range 1000 {
		key := rendezvous.Hash(fmt.Sprint(nr))
		before, _ := rendezvous.Pick(key, names)
		after, _ := rendezvous.Pick(key, names[1:])
		if before != "a" && before != after {
			moved++
		}
	}
	_, ok := rendezvous.Pick(1, []string(nil))
	fmt.Println(moved, ok)
	// Output: 0 false
}
