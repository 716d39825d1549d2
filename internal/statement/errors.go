package statement

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"

	"carawayshift.example/carawayshift"
)

// ParseError describes the first error in a statement.
type ParseError struct {
	// Position is the position of the error in characters, counted from 1.
	Position int
	// Found is the word at the position, or "the end".
	Found string
	// Expected lists what is valid at the position.
	Expected []string
	// Suggestion is the expected word that is most similar to the found one, or
	// "".
	Suggestion string
	// NearestForm is the example of the most similar form.
	NearestForm string
}

func (e *ParseError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an error of kind Malformed with a remedy.
func (e *ParseError) Unwrap() error {
	text := fmt.Sprintf("character %d: found %s, expected %s", e.Position, e.Found, joinWords(e.Expected))
	remedy := "the nearest form is: " + e.NearestForm
	if e.Suggestion != "" {
		remedy = "did you mean " + e.Suggestion + "? " + remedy
	}
	return carawayshift.NewError(carawayshift.Malformed, text, remedy)
}

func joinWords(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// form is one form of statement, with an example.
type form struct {
	verb    string
	object  string
	example string
	meaning string
}

var forms = []form{
	{"show", "jobs", "show jobs where state = waiting and team = carnival order by due limit 20", "list jobs"},
	{"show", "teams", "show teams", "list teams with guarantees and use"},
	{"show", "guarantees", "show guarantees", "list guarantees and what is short"},
	{"show", "zones", "show zones", "list zones, who took them out and why"},
	{"show", "workers", "show workers where free > 0 and zone = belmont", "list workers"},
	{"show", "runners", "show runners where service = wigs", "list runners"},
	{"show", "hosts", "show hosts", "list entry hosts and the version in force there"},
	{"show", "notes", "show notes since yesterday", "list notes"},
	{"show", "quarantine", "show quarantine", "list workers in quarantine"},
	{"show", "config", "show config", "list settings"},
	{"show", "version", "show version", "show the configuration version and the leader"},
	{"why", "job", "why job 41", "say what holds a job back and what would free it"},
	{"explain", "", "explain drain zone belmont", "say what a statement would do, or what a rule means"},
	{"note", "", `note "compressor noise in hall 2"`, "add a note for other operators"},
	{"note", "on", `note on job 41 "customer calls at 05:00"`, "add a note on a job, team, zone, worker, runner or host"},
	{"create", "team", "create team carnival guarantee 2x8, 1x32 limit 50", "add a team"},
	{"create", "zone", "create zone belmont region north", "add a zone"},
	{"create", "job", "create job mask-render team carnival tasks 4 accelerators 8 cores 8 memory 64GB run 2h due 06:00 urgent", "add a job"},
	{"set", "team", "set team carnival guarantee 4x8", "change a team's guarantee or limit"},
	{"set", "job", "set job 41 due 07:00 urgent", "change a job"},
	{"set", "config", "set config objective = packing", "change a setting"},
	{"cancel", "job", "cancel job 41", "cancel a job"},
	{"cancel", "jobs", "cancel jobs where team = carnival and state = waiting", "cancel all jobs that match"},
	{"hold", "job", "hold job 41", "keep a job from running until it is released"},
	{"release", "job", "release job 41", "return a held or parked job to the waiting state"},
	{"release", "worker", "release worker w7", "end a worker's quarantine"},
	{"drain", "zone", `drain zone belmont because "switch swap at 02:00"`, "take a zone out: nothing starts there, running work is moved"},
	{"return", "zone", "return zone belmont", "put a zone back into service"},
	{"help", "", "help create", "list the forms"},
}

// Help lists the forms whose verb or object is the topic. Without a match it
// lists all forms.
func Help(topic string) string {
	var b strings.Builder
	for _, f := range forms {
		if topic == "" || f.verb == topic || f.object == topic {
			fmt.Fprintf(&b, "%s\n    %s\n", f.example, f.meaning)
		}
	}
	if b.Len() == 0 {
		return Help("")
	}
	b.WriteString("Commands take: because \"reason\", and: if version N\n")
	return b.String()
}

func verbs() []string {
	var words []string
	for _, f := range forms {
		if !slices.Contains(words, f.verb) {
			words = append(words, f.verb)
		}
	}
	return words
}

func objects(verb string) []string {
	var words []string
	for _, f := range forms {
		if f.verb == verb && f.object != "" {
			words = append(words, f.object)
		}
	}
	return words
}

// nearestForm returns the example whose verb and object are most similar to the
// first two words of the text.
func nearestForm(text string) string {
	words := append(strings.Fields(strings.ToLower(text)), "", "")
	example, bestDistance := forms[0].example, 1<<30
	for _, f := range forms {
		// The verb has more weight because it determines the kind of statement.
		d := 3*editDistance(words[0], f.verb) + editDistance(words[1], f.object)
		if d < bestDistance {
			example, bestDistance = f.example, d
		}
	}
	return example
}

// closestWord returns the candidate with the smallest edit distance to the
// word, or "" if each distance exceeds a third of the word's length, rounded
// up.
func closestWord(word string, candidates []string) string {
	best, bestDistance := "", (len(word)+2)/3+1
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(word), c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the number of insertions, deletions, replacements and
// swaps of adjacent bytes that turn a into b. Words longer than maxWordLength
// get the distance maxWordLength.
func editDistance(a, b string) int {
	if len(a) > maxWordLength || len(b) > maxWordLength {
		return maxWordLength
	}
	beforePrev, prev := make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range len(a) {
		row := make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			row[j+1] = min(prev[j+1]+1, row[j]+1, prev[j]+cost)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				row[j+1] = min(row[j+1], beforePrev[j-1]+1)
			}
		}
		beforePrev, prev = prev, row
	}
	return prev[len(b)]
}

const whitespace = " \t\r\n"

// maxWordLength limits the cost of computing suggestions.
const maxWordLength = 40

// checkText returns an error for text that is empty, too long or not printable.
func checkText(text string) *ParseError {
	if strings.TrimSpace(text) == "" {
		return &ParseError{Position: 1, Found: "the end", Expected: verbs(), NearestForm: forms[0].example}
	}
	if len(text) > MaxLength {
		return &ParseError{Position: MaxLength, Found: "more text", Expected: []string{"at most 4,096 bytes"}, NearestForm: nearestForm(text[:MaxLength])}
	}
	position := 0
	for i, r := range text {
		position++
		if r == utf8.RuneError || unicode.IsControl(r) && r != '\n' && r != '\t' && r != '\r' {
			return &ParseError{Position: position, Found: fmt.Sprintf("byte 0x%02x", text[i]), Expected: []string{"printable UTF-8 text"}, NearestForm: nearestForm(text)}
		}
	}
	return nil
}

// newSyntaxError converts an error of the parser to a ParseError.
func newSyntaxError(text string, err error) *ParseError {
	offset := len(text)
	var participleErr participle.Error
	if errors.As(err, &participleErr) {
		offset = participleErr.Position().Offset
	}
	if first := firstWord(text); !slices.Contains(verbs(), strings.ToLower(first)) {
		return newErrorAt(text, len(text)-len(strings.TrimLeft(text, whitespace)), verbs())
	}
	return newErrorAt(text, mistypedClause(text, offset), expectedAt(text, offset))
}

// mistypedClause returns the offset of a misspelled clause of show that was
// parsed as a name, as in "show jobs whre state = waiting". Otherwise it
// returns the given offset.
func mistypedClause(text string, offset int) int {
	before := strings.Fields(text[:offset])
	if len(before) != 3 || !strings.EqualFold(before[0], "show") || closestWord(before[2], clauses) == "" {
		return offset
	}
	return strings.LastIndex(text[:offset], before[2])
}

// newErrorAt returns an error about the word at a byte offset.
func newErrorAt(text string, offset int, expected []string) *ParseError {
	if len(expected) == 0 {
		// The context is unknown when words are not separated by white space.
		expected = []string{"the words of the nearest form"}
	}
	e := &ParseError{
		Position: utf8.RuneCountInString(text[:offset]) + 1,
		Found:    "the end", Expected: expected, NearestForm: nearestForm(text),
	}
	word := firstWord(text[offset:])
	if strings.ContainsAny(word, "“”„") {
		e.Expected = []string{`straight double quotes: "`}
	}
	if word != "" {
		e.Found, e.Suggestion = fmt.Sprintf("%q", word), closestWord(word, expected)
	}
	return e
}

// firstWord returns the first word or other character of s, truncated to
// maxWordLength.
func firstWord(s string) string {
	s = strings.TrimLeft(s, whitespace)
	end := strings.IndexFunc(s, func(r rune) bool {
		return !(unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._:-", r))
	})
	if end == 0 {
		_, end = utf8.DecodeRuneInString(s)
	}
	if end < 0 || end > maxWordLength {
		end = min(len(s), maxWordLength)
	}
	return strings.ToValidUTF8(s[:end], "")
}

var (
	clauses             = []string{"where", "order", "limit", "since"}
	comparisonOperators = []string{"=", "!=", "<", ">", "<=", ">="}
	conditionPrefixes   = []string{"where", "and", "or", "("}
)

// expectedAt lists what is valid at the offset. The parser's error names only
// one rule of the grammar, so the list is derived from the preceding words.
func expectedAt(text string, offset int) []string {
	words := strings.Fields(strings.ToLower(text[:offset]))
	if strings.HasPrefix(strings.TrimSpace(text[offset:]), `"`) {
		return []string{"a closing double quote"}
	}
	if len(words) == 0 {
		return verbs()
	}
	last, beforeLast := words[len(words)-1], ""
	if len(words) > 1 {
		beforeLast = words[len(words)-2]
	}
	switch {
	case words[0] == "note":
		return []string{"on", "a text in double quotes"}
	case len(words) == 1 && words[0] != "help":
		return objects(words[0])
	case last == "because":
		return []string{"a reason in double quotes"}
	case last == "if":
		return []string{"version"}
	case last == "version" && beforeLast == "if":
		return []string{"a version number"}
	}
	return expectedAfterWord(words, last, beforeLast)
}

// expectedAfterWord lists what is valid after the last of at least two words.
func expectedAfterWord(words []string, last, beforeLast string) []string {
	switch {
	case slices.Contains(comparisonOperators, last):
		return []string{"a value"}
	case slices.Contains(conditionPrefixes, last):
		return []string{"a column", "("}
	case slices.Contains(conditionPrefixes, beforeLast):
		return comparisonOperators
	case slices.Contains(comparisonOperators, beforeLast):
		return []string{"and", "or", ")", "order", "limit", "since", "because", "the end"}
	case last == "order":
		return []string{"by"}
	case last == "by":
		return []string{"a column"}
	case last == "limit" || last == "since":
		return []string{"a value"}
	}
	return expectedByVerb(words, last)
}

// expectedByVerb lists what is valid after the given words when the last word
// alone does not determine it.
func expectedByVerb(words []string, last string) []string {
	switch words[0] {
	case "show":
		return append(slices.Clone(clauses), "the end")
	case "cancel":
		if last == "jobs" {
			return []string{"where"}
		}
	case "create", "set":
		if len(words) == 3 && words[1] == "config" {
			return []string{"="}
		}
		return []string{"a field and its value", "because", "if", "the end"}
	}
	if len(words) == 2 {
		return []string{"a name or number"}
	}
	return []string{"because", "if", "the end"}
}

// Suggest returns the candidate that is most similar to the word, or "" when
// none is similar enough.
func Suggest(word string, candidates []string) string { return closestWord(word, candidates) }
