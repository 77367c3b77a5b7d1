// Package bench implements the command damasklatch-bench. It measures the quantities for which the design states targets
// and writes the results as tables, JSON files and plots.
//
// Each subcommand repeats one measurement and reports the median, the minimum and the maximum. All load goes to loopback
// addresses 127.90.x.x, and the number of processes and the duration are bounded.
package bench
