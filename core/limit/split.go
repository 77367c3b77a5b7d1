package limit

import (
	"encoding/json"
	"slices"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/unit"

	"github.com/pkg/errors"
)

// SplitKey is the store key of the split of the limits among failure domains.
const SplitKey = "shares/split"

// Split holds the fraction of the limits that each failure domain owns.
type Split struct {
	FailureDomains map[id.FailureDomain]unit.PPM `json:"failure_domains"`
}

// EqualSplit returns a split that gives every failure domain the same fraction, rounded down.
func EqualSplit(fds []id.FailureDomain) *Split {
	sp := &Split{FailureDomains: make(map[id.FailureDomain]unit.PPM)}
	names := slices.Compact(slices.Sorted(slices.Values(fds)))
	for _, fd := range names {
		sp.FailureDomains[fd] = unit.Whole / unit.PPM(len(names))
	}
	return sp
}

// ParseSplit decodes a stored split. It returns an error for unknown fields, invalid names, fractions that are
// negative or above one, and fractions that add up to more than one.
func ParseSplit(src []byte) (*Split, error) {
	sp := new(Split)
	if err := decodeStrictly(src, sp); err != nil {
		return nil, errors.Wrap(err, "split of shares")
	}
	var sum unit.PPM
	for fd, ppm := range sp.FailureDomains {
		if !id.ValidName(fd) {
			return nil, errors.Errorf("split of shares: the name of failure domain %q is not valid", fd)
		}
		if ppm < 0 || ppm > unit.Whole {
			return nil, errors.Errorf("split of shares: failure domain %q has an invalid fraction of %d ppm", fd, ppm)
		}
		sum += ppm
	}
	if sum > unit.Whole {
		return nil, errors.Errorf("split of shares: fractions add up to %d ppm", sum)
	}
	return sp, nil
}

// Encode returns the JSON to store.
func (sp *Split) Encode() []byte {
	src, err := json.Marshal(sp)
	if err != nil {
		panic(err) // a Split has only strings and numbers, which always encode
	}
	return src
}

// OwnedFractions returns the fractions for a VM of the failure domain that owns ppm. The regions come from the
// configuration.
func (sp *Split) OwnedFractions(cfg *config.Effective, fd id.FailureDomain, ppm unit.PPM) OwnedFractions {
	ow := OwnedFractions{PPM: ppm, FailureDomainPPM: sp.FailureDomains[fd]}
	rg, ok := regionOf(cfg, fd)
	if !ok {
		return ow
	}
	ow.Regions = make(map[id.Region]unit.PPM)
	for _, fdm := range cfg.FailureDomains {
		ow.Regions[fdm.Region] += sp.FailureDomains[fdm.Name]
	}
	ow.RegionPPM = ow.Regions[rg.Name]
	return ow
}

// JoinFraction returns the fraction that a joining VM wants: an equal part of the fraction of its failure domain.
// Without a configured number of entry VMs it is the whole fraction.
func (sp *Split) JoinFraction(cfg *config.Effective, fd id.FailureDomain) unit.PPM {
	for _, fdm := range cfg.FailureDomains {
		if fdm.Name == fd && fdm.EntryVMs > 0 {
			return sp.FailureDomains[fd] / unit.PPM(fdm.EntryVMs)
		}
	}
	return sp.FailureDomains[fd]
}
