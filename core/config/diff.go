package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// DifferenceKind states how an element differs between two configurations.
type DifferenceKind string

// Kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one difference between two configurations: an element that was added or removed, or a field that
// was changed. Field is set only for a changed field. From is empty for an added element, To for a removed one.
type Difference struct {
	Kind   DifferenceKind `json:"kind"`
	Object string         `json:"object"` // kind of the element, such as "team", "route" or "target"
	Name   string         `json:"name"`
	Field  string         `json:"field,omitempty"`
	From   string         `json:"from,omitempty"`
	To     string         `json:"to,omitempty"`
}

// String returns a line such as `~ team lab: rate 200/s -> 300/s`.
func (df Difference) String() string {
	switch df.Kind {
	case Added:
		return strings.TrimSuffix(fmt.Sprintf("+ %s %s: %s", df.Object, df.Name, df.To), ": ")
	case Removed:
		return strings.TrimSuffix(fmt.Sprintf("- %s %s: %s", df.Object, df.Name, df.From), ": ")
	default:
		return fmt.Sprintf("~ %s %s: %s %s -> %s", df.Object, df.Name, df.Field, df.From, df.To)
	}
}

// Diff returns the differences between two configurations, sorted by object, name and field. It does not compare
// generations. A nil configuration counts as empty.
func Diff(from, to *Effective) []Difference {
	old, current := flatten(from), flatten(to)
	var diffs []Difference
	for key, oe := range old {
		if ne, ok := current[key]; ok {
			diffs = append(diffs, fieldDiffs(key, oe, ne)...)
			continue
		}
		diffs = append(diffs, Difference{Kind: Removed, Object: key.object, Name: key.name, From: oe.String()})
	}
	for key, ne := range current {
		if _, ok := old[key]; !ok {
			diffs = append(diffs, Difference{Kind: Added, Object: key.object, Name: key.name, To: ne.String()})
		}
	}
	slices.SortFunc(diffs, func(da, db Difference) int {
		return cmp.Or(
			cmp.Compare(slices.Index(objectOrder, da.Object), slices.Index(objectOrder, db.Object)),
			cmp.Compare(da.Name, db.Name), cmp.Compare(da.Field, db.Field),
		)
	})
	return diffs
}

// objectOrder is the order in which Diff sorts differences by object.
var objectOrder = []string{
	"deployment", "settings", "region", "failure_domain", "link", "pool", "team", "route", "site", "target", "block", "key",
}

// elementKey identifies an element of a configuration.
type elementKey struct{ object, name string }

// element holds the fields of an element, formatted for display.
type element []field

// field is one field of an element, formatted for display.
type field struct{ name, value string }

func (el element) String() string {
	var parts []string
	for _, fl := range el {
		parts = append(parts, fl.name+" "+fl.value)
	}
	return strings.Join(parts, ", ")
}

// fieldDiffs returns the differences between the fields of two versions of an element.
func fieldDiffs(key elementKey, from, to element) []Difference {
	var diffs []Difference
	for nr := range from {
		if from[nr] != to[nr] {
			diffs = append(diffs, Difference{
				Kind: Changed, Object: key.object, Name: key.name, Field: from[nr].name, From: from[nr].value, To: to[nr].value,
			})
		}
	}
	return diffs
}

// flatten returns the elements of a configuration by object and name. Elements of the same object have the same fields
// in the same order.
func flatten(ef *Effective) map[elementKey]element {
	els := make(map[elementKey]element)
	if ef == nil {
		return els
	}
	els[elementKey{"deployment", ef.Deployment}] = element{}
	els[elementKey{"settings", ef.Deployment}] = element{
		{"lookup_ttl", formatDuration(ef.Settings.LookupTTL)},
		{"key_freshness", formatDuration(ef.Settings.KeyFreshness)},
		{"loan_duration", formatDuration(ef.Settings.LoanDuration)},
	}
	flattenTopology(ef, els)
	flattenTeamsAndRoutes(ef, els)
	for _, cb := range ef.Blocks {
		els[elementKey{"block", cb.Prefix.String()}] = element{{"site", string(cb.Site)}}
	}
	for _, ky := range ef.Keys {
		els[elementKey{"key", ky.Digest.String()[:shownDigestDigits]}] = element{{"team", string(ky.Team)}, {"state", ky.State()}}
	}
	return els
}

func flattenTopology(ef *Effective, els map[elementKey]element) {
	for _, rg := range ef.Regions {
		els[elementKey{"region", string(rg.Name)}] = element{
			{"capacity", fmt.Sprint(rg.Capacity)}, {"shift_cap", formatRate(rg.ShiftCap)}, {"drained", fmt.Sprint(rg.Drained)},
		}
	}
	for _, fd := range ef.FailureDomains {
		els[elementKey{"failure_domain", string(fd.Name)}] = element{
			{"region", string(fd.Region)}, {"entry_vms", fmt.Sprint(fd.EntryVMs)}, {"drained", fmt.Sprint(fd.Drained)},
		}
	}
	for _, lk := range ef.Links {
		els[elementKey{"link", string(lk.From) + "/" + string(lk.To)}] = element{
			{"one_way", formatDuration(lk.OneWayDelay)}, {"capacity", formatBits(lk.Capacity)},
		}
	}
	for _, st := range ef.Sites {
		els[elementKey{"site", string(st.Name)}] = element{{"failure_domain", string(st.FailureDomain)}}
		for _, tg := range st.Targets {
			els[elementKey{"target", string(tg.Name)}] = element{
				{"site", string(st.Name)}, {"pool", string(tg.Pool)}, {"address", tg.Address},
				{"slots", fmt.Sprint(tg.Slots)}, {"connections", fmt.Sprint(tg.MaxConnections)}, {"drained", fmt.Sprint(tg.Drained)},
			}
		}
	}
}

func flattenTeamsAndRoutes(ef *Effective, els map[elementKey]element) {
	for _, tm := range ef.Teams {
		els[elementKey{"team", string(tm.Name)}] = element{
			{"rate", formatRate(tm.Rate)}, {"burst", formatMilli(int64(tm.Burst))}, {"routes", fmt.Sprint(tm.Routes)},
		}
	}
	for _, rt := range ef.Routes {
		els[elementKey{"route", string(rt.Name)}] = element{
			{"path", rt.PathPrefix}, {"methods", fmt.Sprint(rt.Methods)}, {"idempotent", fmt.Sprint(rt.Idempotent)},
			{"access", string(rt.Access)}, {"pool", string(rt.Pool)}, {"deadline", formatDuration(rt.Deadline)},
			{"max_body", formatBytes(rt.MaxBodyBytes)},
		}
	}
}
