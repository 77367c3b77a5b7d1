package config

import (
	"net/netip"

	"damasklatch/core/id"
)

// Overlay is the parsed overlay file of a site. Merge validates its references.
type Overlay struct {
	file     string
	site     id.Site
	siteAt   position
	domain   id.FailureDomain
	domainAt position
	drained  bool
	targets  []located[targetItem]
}

// Site returns the name of the site.
func (ov *Overlay) Site() id.Site { return ov.site }

// targetItem is a target whose slots and connections are zero if the pool sets them.
type targetItem struct {
	Target
	poolAt, addressAt position
}

// ParseOverlay reads the overlay file of a site. The error is of type Errors.
func ParseOverlay(file string, src []byte) (*Overlay, error) {
	rd := newReader(file)
	ov := rd.overlay(src)
	if err := rd.err(); err != nil {
		return nil, err
	}
	return ov, nil
}

// overlay returns what can be read of an overlay file.
func (rd *reader) overlay(src []byte) *Overlay {
	ov := &Overlay{file: rd.file}
	if fs := rd.document(src); fs != nil {
		ov.site, ov.siteAt = nameField[id.Site](fs, "site")
		ov.domain, ov.domainAt = nameField[id.FailureDomain](fs, "failure_domain")
		ov.drained = fs.boolean("drained")
		ov.targets = items(fs, "targets", readTarget)
		fs.done()
	}
	return ov
}

func readTarget(fs *fields) targetItem {
	name, _ := nameField[id.Target](fs, "name")
	pool, poolAt := nameField[id.Pool](fs, "pool")
	ti := targetItem{poolAt: poolAt, Target: Target{
		Name: name, Pool: pool,
		Slots: fs.count("slots", false, 1, 0), MaxConnections: fs.count("connections", false, 1, 0),
		Drained: fs.boolean("drained"),
	}}
	ti.Address, ti.addressAt = fs.address("address")
	return ti
}

// address reads a required field that holds an IP address and a port.
func (fs *fields) address(name string) (string, position) {
	text, at, ok := fs.text(name, true)
	if !ok {
		return "", at
	}
	if ap, err := netip.ParseAddrPort(text); err != nil || ap.Port() == 0 {
		fs.addf(at, "field %q: %q is not an IP address with a port, such as 10.0.0.1:8080", name, text)
	}
	return text, at
}
