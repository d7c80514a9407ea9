package cmds

import (
	"github.com/pmezard/go-difflib/difflib"
)

// contextLines stand around each change.
const contextLines = 2

// compare is the unified difference of two texts, "" if there is none.
func compare(before, after string) string {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after),
		FromFile: "in force", ToFile: "file", Context: contextLines,
	})
	if err != nil {
		return err.Error()
	}
	return out
}
