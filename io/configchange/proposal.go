package configchange

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/io/store"
)

// proposalPrefix is the prefix of the store keys of proposals.
const proposalPrefix = "config/proposals/"

// Proposal is a validated change that waits to be accepted. It is stored as JSON and never modified.
type Proposal struct {
	OperationID    id.Operation     `json:"operation_id"`
	Author         string           `json:"author"`
	Time           time.Time        `json:"time"`
	Comment        string           `json:"comment"`
	BaseVersion    store.Version    `json:"base_version"`
	BaseGeneration id.Generation    `json:"base_generation"`
	BaseParts      []config.PartRef `json:"base_parts"`
	Parts          []config.PartRef `json:"parts"`
}

// Propose validates the files together with the issued keys, uploads new parts and stores the proposal. It returns the
// proposal and the differences from the accepted configuration. Errors in the files have type config.Errors.
func (cl *Client) Propose(ctx context.Context, ch config.Change, src *config.Sources) (*Proposal, []config.Difference, error) {
	if !validOperationID(ch.OperationID) {
		return nil, nil, inputErrorf("operation id %q is not valid", ch.OperationID)
	}
	parts, err := src.Parts()
	if err != nil {
		return nil, nil, err
	}
	base, err := cl.readLatest(ctx)
	if err != nil {
		return nil, nil, err
	}
	pp := &Proposal{
		OperationID: ch.OperationID, Author: ch.Author, Time: ch.Time.UTC(), Comment: ch.Comment,
		BaseVersion: base.Version, BaseGeneration: base.generation(), Parts: config.NewPartRefs(parts),
	}
	if base.Manifest != nil {
		pp.BaseParts = base.Manifest.Parts
		pp.Parts = append(pp.Parts, keyPartRefs(base.Manifest)...)
	}
	diffs, err := cl.validate(ctx, base, src)
	if err != nil {
		return nil, nil, err
	}
	if err := cl.uploadParts(ctx, pp.BaseParts, parts); err != nil {
		return nil, nil, err
	}
	body, err := json.Marshal(pp)
	if err != nil {
		return nil, nil, fmt.Errorf("encode the proposal: %w", err)
	}
	if err := cl.storeProposal(ctx, pp.OperationID, body); err != nil {
		return nil, nil, err
	}
	return pp, diffs, nil
}

// storeProposal stores an encoded proposal. It returns an *InputError if another proposal has the same operation id.
func (cl *Client) storeProposal(ctx context.Context, op id.Operation, body []byte) error {
	key := proposalPrefix + string(op)
	if err := cl.createImmutable(ctx, key, body); err != nil {
		return err
	}
	obj, err := cl.getImmutable(ctx, key)
	if err == nil && !bytes.Equal(obj.Value, body) {
		return inputErrorf("operation id %s belongs to another proposal", op)
	}
	return err
}

// Compare validates the files together with the issued keys and returns the differences from the accepted
// configuration. It stores nothing.
func (cl *Client) Compare(ctx context.Context, src *config.Sources) ([]config.Difference, error) {
	base, err := cl.readLatest(ctx)
	if err != nil {
		return nil, err
	}
	return cl.validate(ctx, base, src)
}

// validate merges the files with the keys of the base and returns the differences from the base. Errors refer to the
// operator's files.
func (cl *Client) validate(ctx context.Context, base *Snapshot, src *config.Sources) ([]config.Difference, error) {
	full := *src
	var from *config.Effective
	if base.Manifest != nil {
		contents := make(map[string][]byte)
		if err := cl.fetchParts(ctx, base.Manifest.Parts, contents); err != nil {
			return nil, err
		}
		var err error
		if from, err = config.Build(base.Manifest, contents); err != nil {
			return nil, err
		}
		full.Keys = nil
		for _, pr := range keyPartRefs(base.Manifest) {
			full.Keys = append(full.Keys, config.File{Name: pr.Name, Content: contents[pr.SHA256]})
		}
	}
	to, err := full.Merge()
	if err != nil {
		return nil, err
	}
	return config.Diff(from, to), nil
}

// keyPartRefs returns the references of a manifest's key parts.
func keyPartRefs(mf *config.Manifest) []config.PartRef {
	return slices.DeleteFunc(slices.Clone(mf.Parts), func(pr config.PartRef) bool { return !config.IsKeyPart(pr.Name) })
}

// uploadParts stores the parts whose contents the base does not have.
func (cl *Client) uploadParts(ctx context.Context, base []config.PartRef, parts map[string][]byte) error {
	present := make(map[string]bool)
	for _, pr := range base {
		present[pr.SHA256] = true
	}
	for _, pr := range config.NewPartRefs(parts) {
		if present[pr.SHA256] {
			continue
		}
		if err := cl.createImmutable(ctx, config.PartKey(pr.SHA256), parts[pr.Name]); err != nil {
			return err
		}
	}
	return nil
}

// Proposal returns the stored proposal of an operation, or an *InputError if there is none.
func (cl *Client) Proposal(ctx context.Context, op id.Operation) (*Proposal, error) {
	if !validOperationID(op) {
		return nil, inputErrorf("operation id %q is not valid", op)
	}
	obj, err := cl.getImmutable(ctx, proposalPrefix+string(op))
	if kindOf(err) == store.NotFound {
		return nil, inputErrorf("no proposal %s is stored", op)
	}
	if err != nil {
		return nil, err
	}
	pp, err := ParseProposal(obj.Value)
	if err != nil {
		return nil, fmt.Errorf("proposal %s: %w", op, err)
	}
	if pp.OperationID != op {
		return nil, fmt.Errorf("proposal %s names operation %s", op, pp.OperationID)
	}
	return pp, nil
}

// ParseProposal decodes a stored proposal and checks that a valid manifest can be made from it.
func ParseProposal(src []byte) (*Proposal, error) {
	pp := new(Proposal)
	if err := json.Unmarshal(src, pp); err != nil {
		return nil, err
	}
	if !validOperationID(pp.OperationID) {
		return nil, fmt.Errorf("operation id %q is not valid", pp.OperationID)
	}
	for _, parts := range [][]config.PartRef{pp.BaseParts, pp.Parts} {
		mf := (*config.Manifest)(nil).Next(config.Change{OperationID: pp.OperationID}, parts)
		if _, err := config.ParseManifest(mf.Encode()); err != nil {
			return nil, err
		}
	}
	return pp, nil
}

// Proposals returns the stored proposals that are based on the current configuration and can be accepted, oldest first.
func (cl *Client) Proposals(ctx context.Context) ([]*Proposal, error) {
	sn, err := cl.Current(ctx)
	if err != nil {
		return nil, err
	}
	infos, err := cl.listProposals(ctx)
	if err != nil {
		return nil, err
	}
	var open []*Proposal
	for _, in := range infos {
		pp, err := cl.Proposal(ctx, id.Operation(strings.TrimPrefix(in.Key, proposalPrefix)))
		if err != nil {
			return nil, err
		}
		if pp.BaseVersion == sn.Version {
			open = append(open, pp)
		}
	}
	slices.SortFunc(open, func(pa, pb *Proposal) int { return pa.Time.Compare(pb.Time) })
	return open, nil
}

// listProposals lists the stored proposals and retries temporary errors.
func (cl *Client) listProposals(ctx context.Context) ([]store.Info, error) {
	for attempt := 0; ; attempt++ {
		infos, _, err := cl.st.List(ctx, proposalPrefix)
		if err == nil || !temporary(kindOf(err)) {
			return infos, err
		}
		if !waitBeforeRetry(ctx, attempt) {
			return nil, &UnreachableError{Action: "list proposals", Err: err}
		}
	}
}

// Accept puts a proposal into effect. It takes effect once even if Accept is called several times. The error is a
// *ConflictError if another change was accepted since the proposal's base.
func (cl *Client) Accept(ctx context.Context, op id.Operation, now time.Time) (*Result, error) {
	sn, err := cl.Current(ctx)
	if err != nil {
		return nil, err
	}
	if rs := cl.alreadyAccepted(ctx, sn, op); rs != nil {
		return rs, nil
	}
	pp, err := cl.Proposal(ctx, op)
	if err != nil {
		return nil, err
	}
	base := &Snapshot{Version: pp.BaseVersion}
	if pp.BaseVersion != 0 {
		base.Manifest = &config.Manifest{Generation: pp.BaseGeneration}
	}
	rs, err := cl.acceptOnBase(ctx, pp, base, sn, now)
	var mv *outdatedBaseError
	if errors.As(err, &mv) {
		return nil, cl.conflictError(ctx, pp, mv.current.Manifest)
	}
	return rs, err
}

// alreadyAccepted returns the result of an operation if the manifest's history lists it, or nil.
func (cl *Client) alreadyAccepted(ctx context.Context, sn *Snapshot, op id.Operation) *Result {
	if sn.Manifest == nil {
		return nil
	}
	he, ok := sn.Manifest.FindOperation(op)
	if !ok {
		return nil
	}
	cl.announce(ctx, sn.Manifest.Encode())
	return &Result{OperationID: op, Generation: he.Generation, AlreadyInEffect: true}
}

// acceptOnBase commits the proposal on its base. sn is the manifest that was read; it may be older or newer than the
// base.
func (cl *Client) acceptOnBase(ctx context.Context, pp *Proposal, base, sn *Snapshot, now time.Time) (*Result, error) {
	next := &config.Manifest{OperationID: pp.OperationID}
	if sn.Version > base.Version {
		return cl.findOutcome(ctx, base, next, sn.Version)
	}
	if sn.Version < base.Version {
		// The new manifest continues the history of the base, so the base must be read.
		var err error
		if sn, err = cl.readAtLeast(ctx, base.Version); err != nil {
			return nil, err
		}
		if sn.Version > base.Version {
			return cl.findOutcome(ctx, base, next, sn.Version)
		}
	}
	ch := config.Change{OperationID: pp.OperationID, Author: pp.Author, Comment: pp.Comment, Time: now}
	next = sn.Manifest.Next(ch, pp.Parts)
	if _, err := cl.Load(ctx, next); err != nil {
		return nil, err
	}
	return cl.commit(ctx, sn, next)
}

// conflictError returns a *ConflictError that describes what was accepted instead of the proposal.
func (cl *Client) conflictError(ctx context.Context, pp *Proposal, now *config.Manifest) error {
	er := &ConflictError{OperationID: pp.OperationID, Base: pp.BaseGeneration, Current: now.Generation}
	for _, he := range now.History {
		if he.Generation > pp.BaseGeneration {
			er.AcceptedFirst = append(er.AcceptedFirst, he)
		}
	}
	er.TheirChanges, er.OurChanges, er.DiffErr = cl.compare(ctx, pp, now)
	return er
}

// compare returns what changed between the proposal's base and the manifest now, and what the proposal would have
// changed.
func (cl *Client) compare(ctx context.Context, pp *Proposal, now *config.Manifest) (theirs, ours []config.Difference, err error) {
	var base *config.Effective
	if pp.BaseVersion != 0 {
		if base, err = cl.Load(ctx, &config.Manifest{Parts: pp.BaseParts}); err != nil {
			return nil, nil, err
		}
	}
	mine, err := cl.Load(ctx, &config.Manifest{Parts: pp.Parts})
	if err != nil {
		return nil, nil, err
	}
	current, err := cl.Load(ctx, now)
	if err != nil {
		return nil, nil, err
	}
	return config.Diff(base, current), config.Diff(base, mine), nil
}
