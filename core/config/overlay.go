package config

import (
	"net/netip"

	"damasklatch/core/id"
)

// Overlay is the parsed overlay file of a site. Names that refer to other elements are not validated until Merge.
type Overlay struct {
	file     string
	site     id.Site
	siteAt   position
	domain   id.FailureDomain
	domainAt position
	drained  bool
	targets  []located[targetDecl]
}

// Site returns the name of the site.
func (ov *Overlay) Site() id.Site { return ov.site }

// targetDecl is a declared target and the positions of its fields "pool" and "address". Slots and MaxConnections are zero
// if the overlay does not set them; the values of the pool apply then.
type targetDecl struct {
	Target
	poolAt, addressAt position
}

// ParseOverlay parses the content src of the overlay file of a site. Errors name the file as file. The returned error is
// of type Errors.
func ParseOverlay(file string, src []byte) (*Overlay, error) {
	rd := newReader(file)
	ov := rd.readOverlay(src)
	if err := rd.err(); err != nil {
		return nil, err
	}
	return ov, nil
}

// readOverlay parses as much of an overlay file as possible and records the errors in the reader.
func (rd *reader) readOverlay(src []byte) *Overlay {
	ov := &Overlay{file: rd.file}
	if fs := rd.readDocument(src); fs != nil {
		ov.site, ov.siteAt = nameField[id.Site](fs, "site")
		ov.domain, ov.domainAt = nameField[id.FailureDomain](fs, "failure_domain")
		ov.drained = fs.boolean("drained")
		ov.targets = readMappings(fs, "targets", readTarget)
		fs.reportUnknownFields()
	}
	return ov
}

func readTarget(fs *fields) targetDecl {
	name, _ := nameField[id.Target](fs, "name")
	pool, poolAt := nameField[id.Pool](fs, "pool")
	ti := targetDecl{poolAt: poolAt, Target: Target{
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
