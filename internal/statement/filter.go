package statement

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Select returns the rows that match the statement's filter, in its order and
// up to its limit. A row holds one value for each column of Columns, in that
// order: string, int, uint64, float64, bool, time.Duration or time.Time. A zero
// time stands for an absent one, which is neither before nor after any other.
func (s Statement) Select(rows [][]any) [][]any {
	t, ok := tableByName(s.Object)
	if !ok {
		return rows
	}
	var selected [][]any
	for _, row := range rows {
		if s.matches(t, row) {
			selected = append(selected, row)
		}
	}
	slices.SortStableFunc(selected, s.compareRows)
	if s.limit > 0 && len(selected) > s.limit {
		selected = selected[:s.limit]
	}
	return selected
}

func (s Statement) matches(t table, row []any) bool {
	if s.where != nil && !s.where.match(row) {
		return false
	}
	if s.since.IsZero() {
		return true
	}
	at, _ := row[t.columnIndex(t.sinceColumn)].(time.Time)
	return !at.Before(s.since)
}

func (s Statement) compareRows(a, b []any) int {
	for _, k := range s.order {
		c := compareValues(a[k.index], b[k.index])
		if strings.EqualFold(k.Direction, "desc") {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return 0
}

func (d *disjunction) match(row []any) bool {
	return slices.ContainsFunc(d.Any, func(c *conjunction) bool {
		return !slices.ContainsFunc(c.All, func(t *term) bool { return !t.match(row) })
	})
}

func (t *term) match(row []any) bool {
	if t.Group != nil {
		return t.Group.match(row)
	}
	c := compareValues(row[t.index], t.value)
	switch t.Op {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	}
	if isAbsent(row[t.index]) || isAbsent(t.value) {
		return false
	}
	switch t.Op {
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}

func isAbsent(v any) bool {
	t, ok := v.(time.Time)
	return ok && t.IsZero()
}

// compareValues compares two values of one column; numbers as float64.
func compareValues(a, b any) int {
	switch x := a.(type) {
	case string:
		y, _ := b.(string)
		return cmp.Compare(x, y)
	case bool:
		y, _ := b.(bool)
		return cmp.Compare(boolToInt(x), boolToInt(y))
	case time.Duration:
		y, _ := b.(time.Duration)
		return cmp.Compare(x, y)
	case time.Time:
		y, _ := b.(time.Time)
		return x.Compare(y)
	}
	return cmp.Compare(toFloat(a), toFloat(b))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func toFloat(v any) float64 {
	switch n := v.(type) {
	case int:
		return float64(n)
	case uint64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

func (b builder) show(w *show) (Statement, error) {
	t, ok := tableByName(strings.ToLower(w.Table.Text))
	if !ok {
		return Statement{}, b.errorAt(w.Table.Pos.Offset, tableNames()...)
	}
	s := Statement{Verb: "show", Object: t.name}
	if err := b.where(&s, t, w); err != nil {
		return s, err
	}
	if err := b.order(&s, t, w.Order); err != nil {
		return s, err
	}
	if err := b.limit(&s, w.Limit); err != nil {
		return s, err
	}
	return s, b.since(&s, t, w.Since)
}

// where sets the filter. A name after the table filters by the key column.
func (b builder) where(s *Statement, t table, w *show) error {
	if len(w.Where) > 1 || len(w.Where) == 1 && w.Name != nil {
		return b.errorAt(w.Where[len(w.Where)-1].offset(), "one filter, joined by and or or")
	}
	if len(w.Where) == 1 {
		s.where = w.Where[0]
		return b.resolveFilter(t, s.where)
	}
	if w.Name == nil {
		return nil
	}
	if t.keyColumn == "" {
		return b.errorAt(w.Name.Pos.Offset, "where", "order", "limit", "the end")
	}
	key := &word{Pos: w.Name.Pos, Text: t.keyColumn}
	s.Name = w.Name.Text
	s.where = &disjunction{Any: []*conjunction{{All: []*term{{Column: key, Op: "=", Value: w.Name}}}}}
	return b.resolveFilter(t, s.where)
}

// offset returns the position of the filter in the text.
func (d *disjunction) offset() int {
	first := d.Any[0].All[0]
	if first.Group != nil {
		return first.Group.offset()
	}
	return first.Column.Pos.Offset
}

// resolveFilter looks up the columns of a filter and parses its values.
func (b builder) resolveFilter(t table, d *disjunction) error {
	for _, c := range d.Any {
		for _, term := range c.All {
			if err := b.resolveTerm(t, term); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b builder) resolveTerm(t table, m *term) error {
	if m.Group != nil {
		return b.resolveFilter(t, m.Group)
	}
	i, err := b.resolveColumn(t, m.Column)
	if err != nil {
		return err
	}
	m.index = i
	c := t.columns[i]
	if len(c.values) > 0 && !slices.Contains(c.values, strings.ToLower(m.Value.Text)) {
		return b.errorAt(m.Value.Pos.Offset, c.values...)
	}
	value, expected := b.parseValue(c, m.Value.Text)
	if expected != "" {
		return b.errorAt(m.Value.Pos.Offset, expected)
	}
	m.value = value
	return nil
}

func (b builder) resolveColumn(t table, w *word) (int, error) {
	i := t.columnIndex(strings.ToLower(w.Text))
	if i < 0 {
		return i, b.errorAt(w.Pos.Offset, t.columnNames()...)
	}
	return i, nil
}

// parseValue parses a value of a filter by the type of its column. It returns
// what was expected when the value is invalid.
func (b builder) parseValue(c column, text string) (value any, expected string) {
	switch c.kind {
	case numberColumn:
		return parseNumber(c, text)
	case durationColumn:
		d, ok := parseDuration(text)
		return d, expectedIf(!ok, "a duration such as 90m or 2h")
	case timeColumn, futureTimeColumn:
		if strings.EqualFold(text, "none") {
			return time.Time{}, ""
		}
		at, ok := parseTime(text, b.now, c.kind == futureTimeColumn)
		return at, expectedIf(!ok, "a time in UTC such as 06:00, yesterday, 2026-12-05T06:00 or none")
	case boolColumn:
		yes := strings.EqualFold(text, "yes")
		return yes, expectedIf(!yes && !strings.EqualFold(text, "no"), "yes or no")
	}
	if len(c.values) > 0 {
		text = strings.ToLower(text)
	}
	return text, ""
}

// parseNumber parses a number. The column memory is in MB and accepts units.
func parseNumber(c column, text string) (any, string) {
	if c.name == "memory" {
		mb, ok := parseMemory(text)
		return mb, expectedIf(!ok, "an amount such as 64GB")
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, expectedIf(err != nil || n != n, "a number")
}

func expectedIf(invalid bool, expected string) string {
	if invalid {
		return expected
	}
	return ""
}

func (b builder) order(s *Statement, t table, orders []*orderBy) error {
	if len(orders) > 1 {
		return b.errorAt(orders[1].Keys[0].Column.Pos.Offset, "one order")
	}
	for _, o := range orders {
		for _, k := range o.Keys {
			i, err := b.resolveColumn(t, k.Column)
			if err != nil {
				return err
			}
			k.index = i
			s.order = append(s.order, *k)
		}
	}
	return nil
}

func (b builder) limit(s *Statement, limits []*word) error {
	for i, w := range limits {
		n, ok := parseCount(w.Text)
		if !ok || n == 0 || i > 0 {
			return b.errorAt(w.Pos.Offset, "one number of rows, 1 or more")
		}
		s.limit = n
	}
	return nil
}

// since sets the time from which rows are selected. A duration counts back from
// now.
func (b builder) since(s *Statement, t table, times []*word) error {
	for i, w := range times {
		if t.sinceColumn == "" {
			return b.errorAt(w.Pos.Offset, "where", "order", "limit", "the end, because "+t.name+" have no time")
		}
		at, ok := parseTime(w.Text, b.now, false)
		if d, isDuration := parseDuration(w.Text); !ok && isDuration {
			at, ok = b.now.Add(-d), true
		}
		if !ok || i > 0 {
			return b.errorAt(w.Pos.Offset, "one time such as 22:00, yesterday, 2026-12-04 or 2h")
		}
		s.since = at
	}
	return nil
}
