package memory

const (
	// bodiesDivisor, promptsDivisor and answersDivisor set the budgets as parts of the box's memory. The runtime may
	// use 0.6 of that, of which an idle box takes about half.
	bodiesDivisor  = 16
	promptsDivisor = 8
	answersDivisor = 16
	// defaultMemory is the memory of the smallest boxes, for which the budgets are set if it is not known.
	defaultMemory = 112 << 20
)

// Budgets holds the budgets of a box. They are separate, so that callers that send slowly take no memory from the
// answers of calls that run.
type Budgets struct {
	// Bodies is for requests that callers and other boxes are sending, and that wait or run.
	Bodies *Budget
	// Prompts is for the prompts of turns in progress.
	Prompts *Budget
	// Answers is for what is kept of replicas' answers until they end.
	Answers *Budget
}

// NewBudgets returns the budgets of a box with the given memory in bytes; zero if it is not known.
func NewBudgets(memory int64) *Budgets {
	if memory <= 0 {
		memory = defaultMemory
	}
	return &Budgets{Bodies: New(memory / bodiesDivisor), Prompts: New(memory / promptsDivisor), Answers: New(memory / answersDivisor)}
}
