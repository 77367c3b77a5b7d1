package fixedseed

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// CheckInBubble runs a rapid check in the simulated time of a synctest bubble. It returns the failure messages, or an
// empty string if the check passed. The caller must report them: rapid can't fail the outer test from within the bubble,
// because synctest runs the bubble with a testing.T of its own.
func CheckInBubble(t *testing.T, prop func(*rapid.T)) string {
	t.Helper()
	fa := &failures{TB: t}
	synctest.Test(t, func(*testing.T) { rapid.Check(fa, prop) })
	return fa.text
}

// failures is a rapid.TB that collects failure messages instead of reporting them.
type failures struct {
	rapid.TB
	text string
}

func (fa *failures) Logf(format string, args ...any)   { fa.add("", fmt.Sprintf(format, args...)) }
func (fa *failures) Log(args ...any)                   { fa.add("", fmt.Sprint(args...)) }
func (fa *failures) Errorf(format string, args ...any) { fa.fail(fmt.Sprintf(format, args...)) }
func (fa *failures) Error(args ...any)                 { fa.fail(fmt.Sprint(args...)) }
func (fa *failures) Fatalf(format string, args ...any) { fa.fail(fmt.Sprintf(format, args...)) }
func (fa *failures) Fatal(args ...any)                 { fa.fail(fmt.Sprint(args...)) }
func (fa *failures) Fail()                             { fa.fail("") }
func (fa *failures) FailNow()                          { fa.fail("") }
func (fa *failures) Failed() bool                      { return fa.text != "" }

func (fa *failures) fail(line string) { fa.add("failed: ", line) }

// add appends a line if it is a failure or follows one. The lines that rapid logs after a failure are the steps that
// lead to it; earlier lines are dropped.
func (fa *failures) add(kind, line string) {
	if kind != "" || fa.text != "" {
		fa.text += kind + line + "\n"
	}
}
