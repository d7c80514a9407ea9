package cmds

import (
	"github.com/pmezard/go-difflib/difflib"
)

const contextLines = 2 // unchanged lines shown before and after each change

// unifiedDiff returns the unified diff of two texts, or "" if they are equal.
func unifiedDiff(before, after string) string {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after),
		FromFile: "in force", ToFile: "file", Context: contextLines,
	})
	if err != nil {
		return err.Error()
	}
	return out
}
