package operator

import (
	"fmt"
	"slices"
	"strings"

	"carawayshift.example/carawayshift/internal/statement"
)

// glossary explains the terms that the output of why, show and refusals uses.
var glossary = map[string]string{
	"attempt":              "one placement of a job. Reports of an older attempt change nothing.",
	"borrowed":             "work on accelerators beyond its team's guarantee. It is stopped when the owner of a guarantee needs them.",
	"cell":                 "an aligned block of 1, 2, 4 or 8 accelerators of a worker, or of 1, 2, 4 or 8 workers of a rack.",
	"completion":           "the objective that favours short completion times. type: set config objective = completion",
	"drain":                "takes a zone out of service: nothing starts there from 3 s on, running work is checkpointed and moved.",
	"gang":                 "all tasks of a job run at the same time, or none does.",
	"guarantee":            "cells that a team can always get back, even while others use them. type: show guarantees",
	"held":                 "an operator keeps the job from running until it is released.",
	"objective":            "what the planner optimises: completion, which is the default, or packing. type: show config",
	"packing":              "the objective that favours large adjacent cells. type: set config objective = packing",
	"parked":               "the job failed too often or can never run. It waits for an operator to change, release or cancel it.",
	"placed":               "the job has workers, and no task has started.",
	"quarantine":           "a worker on which jobs failed that run on other workers. It gets no work until the time shown. type: show quarantine",
	"reclaim":              "borrowed work is checkpointed and stopped to give a guarantee back, least lost work first.",
	"shortfall":            "a guarantee that the present workers can't satisfy. It is met again when hardware returns.",
	"stopping":             "the tasks were told to stop and may still run. The job changes state when all have stopped.",
	"urgent":               "urgent jobs of a team come before its other jobs.",
	"version":              "the number of accepted operator commands. if version N accepts a command at that version alone.",
	"waiting":              "the job waits for accelerators. type why job and its number for the rule that holds it back.",
	"zone out":             "an operator took the zone that the job needs out of service. type: show zones",
	"reservation":          "cells are kept for this job while they become free, so that smaller jobs do not delay it.",
	"behind a reservation": "the job fits now, but would delay a larger job that waits for its reserved cells.",
	"no free accelerators": "not enough accelerators are free in one zone. type: show jobs where state = running",
	"no zone large enough": "no zone has the accelerators that the gang needs, even when it is empty.",
	"no workers":           "no worker has announced itself. type: show workers",
	"workers out of use":   "the workers that could hold the job are leaving or in quarantine. type: show quarantine",
}

// explain describes the effect of a statement, or the meaning of a rule or
// term.
func (v *view) explain(subject string) reply {
	words := strings.Fields(strings.ToLower(strings.Trim(subject, `"`)))
	name := strings.Join(words, " ")
	if meaning, ok := glossary[name]; ok {
		return reply{Text: name + ": " + meaning + "\n" + v.jobsHeldBy(name)}
	}
	if jobs := v.jobsHeldBy(name); jobs != "" {
		return reply{Text: "rule: " + name + "\n" + jobs}
	}
	s, err := statement.Parse(subject, v.now)
	if err == nil {
		return reply{Text: v.explainStatement(s)}
	}
	if parseErr := statement.AsParseError(err); len(words) < 2 || parseErr != nil && parseErr.Position == 1 && parseErr.Suggestion == "" {
		return v.unknownTerm(name)
	}
	a := errorReply(err)
	a.Text = formatParseError(subject, err)
	return a
}

// unknownTerm returns an error reply that lists the terms that can be
// explained.
func (v *view) unknownTerm(name string) reply {
	known := make([]string, 0, len(glossary))
	for word := range glossary {
		known = append(known, word)
	}
	slices.Sort(known)
	remedy := "these can be explained: " + strings.Join(known, ", ") + ", and any statement"
	if suggestion := statement.Suggest(name, known); suggestion != "" {
		remedy = "did you mean " + suggestion + "? " + remedy
	}
	return errorReply(malformed("no rule or statement is called "+name, remedy))
}

// jobsHeldBy lists the waiting jobs that the planner does not start because of
// the rule. It returns "" when there are none.
func (v *view) jobsHeldBy(rule string) string {
	var ids []uint64
	waits := v.plan().Waits
	for id, w := range waits {
		if strings.EqualFold(w.Rule, rule) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return fmt.Sprintf("it holds back %s now%s\nfreed by: %s\n", formatJobCount(len(ids)), formatJobIDs(ids), waits[ids[0]].UnblockedBy)
}
