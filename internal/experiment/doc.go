// Package experiment simulates load balancing, rate limiting, target outages, pauses of targets and slow links in simulated
// time. It compares the results with a baseline in the same run and with the targets that the design states. All randomness
// comes from a fixed seed, so every run gives the same figures. Only those of pauses differ a little between runs, by the order
// in which package placement ranges over regions.
package experiment
