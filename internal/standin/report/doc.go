// Package report evaluates a run of the stand-ins from the records of callers and targets alone. It compares what each
// team was served with what its limits entitled it to, counts violations of the request guarantees, computes latencies,
// and writes the result as text whose last line is a JSON object.
package report
