package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar accepts any word as the name of a table, column or field. The
// builder checks these names, because it can suggest similar ones.
type (
	syntaxTree struct {
		Show      *show       `parser:"( 'show' @@"`
		Why       *why        `parser:"| 'why' @@"`
		Note      *note       `parser:"| 'note' @@"`
		Create    *assignment `parser:"| 'create' @@"`
		Set       *assignment `parser:"| 'set' @@"`
		Cancel    *cancel     `parser:"| 'cancel' @@"`
		Action    *action     `parser:"| @@"`
		Help      *help       `parser:"| 'help' @@ )"`
		Modifiers []*modifier `parser:"@@*"`
	}
	word struct {
		Pos  lexer.Position
		Text string `parser:"@(Word | String)"`
	}
	show struct {
		Table *word          `parser:"@@"`
		Name  *word          `parser:"( (?! 'where' | 'order' | 'limit' | 'since' | 'because' | 'if') @@ )?"`
		Where []*disjunction `parser:"( 'where' @@"`
		Order []*orderBy     `parser:"| 'order' 'by' @@"`
		Limit []*word        `parser:"| 'limit' @@"`
		Since []*word        `parser:"| 'since' @@ )*"`
	}
	orderBy struct {
		Keys []*sortKey `parser:"@@ ( ',' @@ )*"`
	}
	sortKey struct {
		Column    *word  `parser:"@@"`
		Direction string `parser:"@( 'asc' | 'desc' )?"`
		index     int
	}
	disjunction struct {
		Any []*conjunction `parser:"@@ ( 'or' @@ )*"`
	}
	conjunction struct {
		All []*term `parser:"@@ ( 'and' @@ )*"`
	}
	term struct {
		Group  *disjunction `parser:"'(' @@ ')'"`
		Column *word        `parser:"| @@"`
		Op     string       `parser:"@Op"`
		Value  *word        `parser:"@@"`
		index  int
		value  any
	}
	why struct {
		Job *word `parser:"'job'? @@"`
	}
	note struct {
		Kind *word `parser:"( 'on' @@"`
		Name *word `parser:"@@ )?"`
		Text *word `parser:"@@"`
	}
	assignment struct {
		Kind   *word    `parser:"@@"`
		Name   *word    `parser:"@@"`
		Value  *word    `parser:"( '=' @@ )?"`
		Fields []*field `parser:"( (?! 'because' | 'if') @@ )*"`
	}
	field struct {
		Pos    lexer.Position
		Flag   string  `parser:"@( 'urgent' | 'overnight' )"`
		Key    string  `parser:"| @Word '='?"`
		Values []*word `parser:"@@ ( ',' @@ )*"`
	}
	cancel struct {
		Where *disjunction `parser:"'jobs' 'where' @@"`
		Job   *word        `parser:"| 'job' @@"`
	}
	action struct {
		Verb string `parser:"@( 'hold' | 'release' | 'drain' | 'return' )"`
		Kind *word  `parser:"@@"`
		Name *word  `parser:"@@"`
	}
	help struct {
		Topic []*word `parser:"@@*"`
	}
	modifier struct {
		Pos     lexer.Position
		Because *word `parser:"'because' @@"`
		Version *word `parser:"| 'if' 'version' @@"`
	}
)

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\["\\]|[^"\\])*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9._:\-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Punct", Pattern: `[(),]`},
	{Name: "space", Pattern: `[ \t\r\n]+`},
})

var parser = participle.MustBuild[syntaxTree](
	participle.Lexer(statementLexer),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(2),
)
