package configchange_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/configchange"
	"damasklatch/io/store"

	. "github.com/smartystreets/goconvey/convey"
)

// fixture is a store with one accepted configuration and a client.
type fixture struct {
	ctx context.Context
	st  *platform.Store
	acc *configchange.Client
	nr  int
}

func inBubble(t *testing.T, items string, run func(fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		Convey(items, t, func() {
			st := platform.NewStore(platform.StoreOptions{})
			fx := &fixture{ctx: ctx, st: st, acc: configchange.New(configchange.Options{Store: st})}
			_, err := fx.acc.Accept(ctx, fx.propose(100).OperationID, time.Now())
			So(err, ShouldBeNil)
			time.Sleep(time.Second)
			run(fx)
		})
	})
}

func (fx *fixture) change() config.Change {
	fx.nr++
	return config.Change{OperationID: id.Operation(fmt.Sprintf("%032x", fx.nr)), Author: fmt.Sprint("author-", fx.nr)}
}

func (fx *fixture) propose(rate int) *configchange.Proposal {
	pp, _, err := fx.acc.Propose(fx.ctx, fx.change(), sources(rate, true))
	So(err, ShouldBeNil)
	return pp
}

func (fx *fixture) issue(team id.Team) (config.Key, error) {
	ch := fx.change()
	ky := config.Key{Digest: config.KeyDigest{0xab, byte(fx.nr)}, Team: team}
	_, err := fx.acc.IssueKey(fx.ctx, ch, ky)
	return ky, err
}

// Guards against a conflict error that does not tell which change was accepted first and what differs.
func TestConflictReport(t *testing.T) {
	inBubble(t, "Of two proposals on the same base, the one accepted second fails with a conflict", func(fx *fixture) {
		first, second := fx.propose(200), fx.propose(300)
		_, err := fx.acc.Accept(fx.ctx, second.OperationID, time.Now())
		So(err, ShouldBeNil)
		_, err = fx.acc.Accept(fx.ctx, first.OperationID, time.Now())
		var conflict *configchange.ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.AcceptedFirst, ShouldResemble, []config.HistoryEntry{{Generation: 2, OperationID: second.OperationID, Author: "author-3"}})
		So(conflict.DiffErr, ShouldBeNil)
		So(fmt.Sprint(conflict.TheirChanges), ShouldEqual, "[~ team lab: rate 100/s -> 300/s - block 10.2.0.0/16: site north-a + block 10.6.0.0/16: site north-a]")
		So(fmt.Sprint(conflict.OurChanges), ShouldContainSubstring, "~ team lab: rate 100/s -> 200/s")
	})
}

// Guards against a change that took effect but is reported as a conflict, because its response was lost, reads are
// stale and other operators keep changing the configuration.
func TestLostResponseWithStaleReads(t *testing.T) {
	inBubble(t, "After a lost response, the outcome is determined from a recent enough read", func(fx *fixture) {
		pp := fx.propose(200)
		stale := fx.st.NewClient()
		stale.SetClientFaults(platform.Faults{LoseAnswers: 1, Reset: true, StaleBy: 30 * time.Second})
		rs, err := configchange.New(configchange.Options{Store: stale}).Accept(fx.ctx, pp.OperationID, time.Now())
		So(err, ShouldBeNil)
		So(rs.Generation, ShouldEqual, id.Generation(2))
	})
	inBubble(t, "After a conflict, the outcome is determined from a recent enough read", func(fx *fixture) {
		pp := fx.propose(200)
		stale := fx.st.NewClient()
		_, err := fx.acc.Accept(fx.ctx, pp.OperationID, time.Now())
		So(err, ShouldBeNil)
		stale.SetClientFaults(platform.Faults{StaleBy: 500 * time.Millisecond})
		rs, err := configchange.New(configchange.Options{Store: stale}).Accept(fx.ctx, pp.OperationID, time.Now())
		So(err, ShouldBeNil)
		So(rs.Generation, ShouldEqual, id.Generation(2))
	})
}

// Guards against a conflict that is reported although the history no longer shows whether the operation was accepted.
func TestHistoryTooShort(t *testing.T) {
	inBubble(t, "After more changes than the history lists, the outcome is unknown", func(fx *fixture) {
		pp := fx.propose(200)
		for range config.MaxHistory {
			_, err := fx.issue("lab")
			So(err, ShouldBeNil)
		}
		_, err := fx.acc.Accept(fx.ctx, pp.OperationID, time.Now())
		var conflict *configchange.ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		_, err = fx.issue("lab")
		So(err, ShouldBeNil)
		_, err = fx.acc.Accept(fx.ctx, pp.OperationID, time.Now())
		var unknown *configchange.UnknownError
		So(errors.As(err, &unknown), ShouldBeTrue)
	})
}

func TestKeys(t *testing.T) {
	inBubble(t, "Given two issued keys", func(fx *fixture) {
		first, err := fx.issue("lab")
		So(err, ShouldBeNil)
		_, err = fx.issue("shop")
		So(err, ShouldBeNil)
		var input *configchange.InputError

		Convey("a key needs a team that exists", func() {
			_, err := fx.issue("nobody")
			So(errors.As(err, &input), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, `team "nobody"`)
		})
		Convey("a withdrawal needs the digits of one key", func() {
			_, err := fx.acc.WithdrawKey(fx.ctx, fx.change(), "ab")
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "2 keys")
			_, err = fx.acc.WithdrawKey(fx.ctx, fx.change(), "cd")
			So(errors.As(err, &input), ShouldBeTrue)
		})
		Convey("a withdrawn key stays withdrawn when a proposal with the same base is accepted", func() {
			pp := fx.propose(200)
			_, err := fx.acc.WithdrawKey(fx.ctx, fx.change(), first.Digest.String())
			So(err, ShouldBeNil)
			_, err = fx.acc.Accept(fx.ctx, pp.OperationID, time.Now())
			var conflict *configchange.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			rs, err := fx.acc.WithdrawKey(fx.ctx, fx.change(), first.Digest.String())
			So(err, ShouldBeNil)
			So(rs.AlreadyInEffect, ShouldBeTrue)
		})
		Convey("a team with an active key cannot be removed", func() {
			_, _, err := fx.acc.Propose(fx.ctx, fx.change(), sources(1, false))
			var faults config.Errors
			So(errors.As(err, &faults), ShouldBeTrue)
			So(faults[0].Message, ShouldContainSubstring, `team "shop" of the active key`)
		})
	})
}

// Guards against a proposal that replaces another one, and against endless retries to read a missing proposal.
func TestProposals(t *testing.T) {
	inBubble(t, "Given a proposal", func(fx *fixture) {
		pp := fx.propose(200)
		var input *configchange.InputError
		ch := config.Change{OperationID: pp.OperationID, Author: "another"}
		_, _, err := fx.acc.Propose(fx.ctx, ch, sources(300, true))
		So(errors.As(err, &input), ShouldBeTrue)
		_, err = fx.acc.Accept(fx.ctx, id.Operation(fmt.Sprintf("%032x", 99)), time.Now())
		So(errors.As(err, &input), ShouldBeTrue)
		open, err := fx.acc.Proposals(fx.ctx)
		So(err, ShouldBeNil)
		So(len(open), ShouldEqual, 1)

		Convey("a damaged proposal is not accepted", func() {
			body, err := json.Marshal(configchange.Proposal{
				OperationID: id.Operation(fmt.Sprintf("%032x", 77)), BaseVersion: pp.BaseVersion, BaseGeneration: pp.BaseGeneration,
				Parts: append([]config.PartRef{{Name: "unknown", SHA256: pp.Parts[0].SHA256, Size: pp.Parts[0].Size}}, pp.Parts...),
			})
			So(err, ShouldBeNil)
			_, err = fx.st.Put(fx.ctx, fmt.Sprintf("config/proposals/%032x", 77), body, 0)
			So(err, ShouldBeNil)
			_, err = fx.acc.Accept(fx.ctx, id.Operation(fmt.Sprintf("%032x", 77)), time.Now())
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, `part "unknown" has no known kind`)
		})
		Convey("a stale read does not hide a proposal", func() {
			stale := fx.st.NewClient()
			stale.SetClientFaults(platform.Faults{StaleBy: 500 * time.Millisecond})
			_, err := configchange.New(configchange.Options{Store: stale}).Accept(fx.ctx, pp.OperationID, time.Now())
			So(err, ShouldBeNil)
		})
		Convey("if the store is down, the call fails when its context ends", func() {
			fx.st.SetFaults(platform.Faults{Down: true})
			ctx, cancel := context.WithTimeout(fx.ctx, time.Second)
			defer cancel()
			_, err := fx.acc.Accept(ctx, pp.OperationID, time.Now())
			var unreachable *configchange.UnreachableError
			So(errors.As(err, &unreachable), ShouldBeTrue)
			var er *store.Error
			So(errors.As(err, &er), ShouldBeTrue)
			So(er.Kind, ShouldEqual, store.Unavailable)
		})
	})
}
