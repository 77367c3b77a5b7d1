package platform

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// FaultRequest is the body of "POST /fault". It replaces the faults of the clients with the IP addresses in Clients,
// or the faults of the whole store if Clients is empty. An empty object clears all faults of the whole store.
type FaultRequest struct {
	Clients       []string   `json:"clients,omitempty"`
	Refuse        bool       `json:"refuse,omitempty"` // for single clients, the same as down
	Down          bool       `json:"down,omitempty"`
	Silent        bool       `json:"silent,omitempty"`
	DelayBeforeMS int64      `json:"delay_before_ms,omitempty"`
	DelayAfterMS  int64      `json:"delay_after_ms,omitempty"`
	LoseRequests  int        `json:"lose_requests,omitempty"`
	LoseAnswers   int        `json:"lose_answers,omitempty"`
	Reset         bool       `json:"reset,omitempty"`
	StaleByMS     int64      `json:"stale_by_ms,omitempty"`
	Watch         WatchFault `json:"watch,omitempty"`
	// FreezeConnections makes the connections that are open now silent permanently. New connections work.
	FreezeConnections bool `json:"freeze_connections,omitempty"`
}

func (fr *FaultRequest) faults() (Faults, error) {
	switch {
	case min(fr.DelayBeforeMS, fr.DelayAfterMS, fr.StaleByMS) < 0:
		return Faults{}, errors.New("durations must not be negative")
	case fr.StaleByMS > MaxStale.Milliseconds():
		return Faults{}, errors.Errorf("stale_by_ms must be at most %d", MaxStale.Milliseconds())
	case min(fr.LoseRequests, fr.LoseAnswers) < EveryCall:
		return Faults{}, errors.Errorf("lose_requests and lose_answers must be at least %d, which means every write", EveryCall)
	case fr.Watch != WatchNormal && fr.Watch != WatchSilent && fr.Watch != WatchEmpty:
		return Faults{}, errors.Errorf("watch must be empty, %q or %q", WatchSilent, WatchEmpty)
	}
	return Faults{
		Refuse: fr.Refuse, Down: fr.Down, Silent: fr.Silent,
		DelayBefore:  time.Duration(fr.DelayBeforeMS) * time.Millisecond,
		DelayAfter:   time.Duration(fr.DelayAfterMS) * time.Millisecond,
		LoseRequests: fr.LoseRequests, LoseAnswers: fr.LoseAnswers, Reset: fr.Reset,
		StaleBy: time.Duration(fr.StaleByMS) * time.Millisecond,
		Watch:   fr.Watch,
	}, nil
}

// decodeJSON decodes exactly one JSON value. Unknown fields and data after the value are errors.
func decodeJSON(rd io.Reader, into any) error {
	dec := json.NewDecoder(rd)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
