package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// render fills in a template as DEPLOY.md tells.
func render(text string, v any) string { return renderIn(text, []any{v}, "", "") }

func renderIn(text string, scope []any, key, comma string) string {
	var out strings.Builder
	for {
		i := strings.Index(text, "{{")
		if i < 0 {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:i])
		text = text[i+2:]
		j := strings.Index(text, "}}")
		name := text[:j]
		text = text[j+2:]
		switch {
		case name == "@":
			out.WriteString(key)
		case name == ",":
			out.WriteString(comma)
		case name[0] == '#' || name[0] == '^':
			end := "{{/" + name[1:] + "}}"
			k := strings.Index(text, end)
			inner := text[:k]
			text = text[k+len(end):]
			out.WriteString(section(inner, name[0] == '#', lookup(scope, name[1:]), scope))
		default:
			out.WriteString(format(lookup(scope, name)))
		}
	}
}

func section(inner string, positive bool, v any, scope []any) string {
	if !positive {
		if v == nil || v == false || v == "" {
			return renderIn(inner, scope, "", "")
		}
		return ""
	}
	var out strings.Builder
	switch x := v.(type) {
	case nil:
	case bool:
		if x {
			return renderIn(inner, scope, "", "")
		}
	case map[string]any:
		keys := make([]string, 0, len(x))
		for k := range x {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			out.WriteString(renderIn(inner, append(scope[:len(scope):len(scope)], x[k]), k, ""))
		}
	case []any:
		for i, e := range x {
			out.WriteString(renderIn(inner, append(scope[:len(scope):len(scope)], e), strconv.Itoa(i), ""))
		}
	default:
		return renderIn(inner, scope, "", "")
	}
	return out.String()
}

func lookup(scope []any, name string) any {
	if name == "." {
		return scope[len(scope)-1]
	}
	parts := strings.Split(name, ".")
	for i := len(scope) - 1; i >= 0; i-- {
		if v, ok := descend(scope[i], parts); ok {
			return v
		}
	}
	return nil
}

func descend(v any, parts []string) (any, bool) {
	for _, p := range parts {
		switch x := v.(type) {
		case map[string]any:
			next, ok := x[p]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i >= len(x) {
				return nil, false
			}
			v = x[i]
		default:
			return nil, false
		}
	}
	return v, true
}

func format(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case []any:
		list := make([]string, len(x))
		for i, e := range x {
			list[i] = format(e)
		}
		return strings.Join(list, ",")
	case map[string]any:
		b, _ := json.Marshal(x)
		return string(b)
	}
	return fmt.Sprint(v)
}
