package entry

import (
	"sync"
	"time"

	"damasklatch/core/dedup"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of the server. It caches the counter of each pair of outcome and reason.
type metrics struct {
	scope          tally.Scope
	lookups        tally.Counter
	lookupsRefused tally.Counter
	duration       tally.Histogram
	duplicates     tally.Counter
	requests       sync.Map // of outcomeKey to tally.Counter
}

type outcomeKey struct {
	outcome dedup.Outcome
	reason  dedup.Reason
}

func newMetrics(sc tally.Scope) *metrics {
	return &metrics{
		scope: sc, lookups: sc.Counter("lookups"), lookupsRefused: sc.Counter("lookups_refused"),
		duplicates: sc.Counter("duplicates"),
		duration:   sc.Histogram("request_duration", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 20)),
	}
}

func (mt *metrics) countRequest(oc dedup.Outcome, rs dedup.Reason, took time.Duration) {
	mt.duration.RecordDuration(took)
	key := outcomeKey{outcome: oc, reason: rs}
	ct, ok := mt.requests.Load(key)
	if !ok {
		tags := map[string]string{"outcome": string(oc), "reason": string(rs)}
		ct, _ = mt.requests.LoadOrStore(key, mt.scope.Tagged(tags).Counter("requests"))
	}
	ct.(tally.Counter).Inc(1)
}
