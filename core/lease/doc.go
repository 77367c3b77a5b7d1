// Package lease decides for how long a VM may rely on its copy of a shared configuration.
//
// A withdrawn key must stop working everywhere within a fixed time, also on a VM that is partitioned from the others
// or was suspended. A VM therefore serves requests under a key only while its lease is valid: it has evidence, not
// older than a fixed age, that its configuration was the newest. The age is counted from before the store was
// queried, on a clock that keeps running while the VM is suspended, so neither a slow response nor a suspension makes
// old evidence look recent.
package lease
