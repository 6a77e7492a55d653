package ccsettings

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// yamlIndex is a parsed YAML file with the line of each key, by path.
type yamlIndex struct {
	root  ast.Node
	lines map[string]int
}

// parse parses YAML text.
func parse(data []byte) (*yamlIndex, error) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, errors.Wrap(err, "parsing YAML")
	}
	t := &yamlIndex{lines: map[string]int{}}
	if len(f.Docs) > 0 {
		t.root = f.Docs[0].Body
	}
	t.indexLines("", t.root)
	return t, nil
}

// indexLines records the line of each key below a node, whose path is path.
func (t *yamlIndex) indexLines(path string, node ast.Node) {
	for _, kv := range pairs(node) {
		p := joinPath(path, keyText(kv))
		t.lines[p] = kv.Key.GetToken().Position.Line
		t.indexLines(p, kv.Value)
	}
}

// pairs returns the keys and values of a mapping, and nil for any other node.
func pairs(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

// keyText returns the text of a key.
func keyText(kv *ast.MappingValueNode) string {
	return kv.Key.GetToken().Value
}

// joinPath appends a key to a path, separated by a dot.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// line returns the line of a path, or of its nearest ancestor in the file, or 0.
func (t *yamlIndex) line(path string) int {
	for path != "" {
		if n, ok := t.lines[path]; ok {
			return n
		}
		cut := strings.LastIndexByte(path, '.')
		path = path[:max(cut, 0)]
	}
	return 0
}

// unknownKeys returns a diagnostic for each key of the file that has no field in typ.
func (t *yamlIndex) unknownKeys(typ reflect.Type) []Diagnostic {
	var diagnostics []Diagnostic
	t.findUnknownKeys("", t.root, typ, &diagnostics)
	return diagnostics
}

// findUnknownKeys adds a diagnostic for each key below node that has no field in typ. A Go map may have any keys; its
// values are checked against the type of its elements.
func (t *yamlIndex) findUnknownKeys(path string, node ast.Node, typ reflect.Type, diagnostics *[]Diagnostic) {
	for _, kv := range pairs(node) {
		key := keyText(kv)
		p := joinPath(path, key)
		switch typ.Kind() {
		case reflect.Map:
			t.findUnknownKeys(p, kv.Value, typ.Elem(), diagnostics)
		case reflect.Struct:
			f, ok := fieldType(typ, key)
			if !ok {
				problem := fmt.Sprintf("unknown key; the nearest known one is %q", nearest(key, structKeys(typ)))
				*diagnostics = append(*diagnostics, Diagnostic{Line: t.lines[p], Path: p, Problem: problem})
				continue
			}
			t.findUnknownKeys(p, kv.Value, f, diagnostics)
		}
	}
}

// fieldType returns the type of the struct field that a YAML key sets.
func fieldType(typ reflect.Type, key string) (reflect.Type, bool) {
	for i := range typ.NumField() {
		if fieldKey(typ.Field(i)) == key {
			return typ.Field(i).Type, true
		}
	}
	return nil, false
}

// structKeys returns the YAML keys of a struct.
func structKeys(typ reflect.Type) []string {
	out := make([]string, typ.NumField())
	for i := range out {
		out[i] = fieldKey(typ.Field(i))
	}
	return out
}

// fieldKey returns the YAML key of a struct field.
func fieldKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// nearest returns the name with the least edit distance to key, ignoring case.
func nearest(key string, names []string) string {
	return slices.MinFunc(names, func(a, b string) int {
		return levenshtein(strings.ToLower(key), strings.ToLower(a)) - levenshtein(strings.ToLower(key), strings.ToLower(b))
	})
}

// levenshtein returns the Levenshtein distance between two texts: the least number of bytes to insert, remove or
// replace to turn one into the other.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			last, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, last+cost)
		}
	}
	return row[len(b)]
}

// linePattern matches the position in an error of the YAML library, [LINE:COLUMN].
var linePattern = regexp.MustCompile(`\[(\d+):\d+\]`)

// errorLine returns the line number in an error of the YAML library, or 0.
func errorLine(err error) int {
	m := linePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// firstLine returns the first line of an error's text. The YAML library appends an excerpt of the file.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// String returns the diagnostic on one line, as FILE:LINE: PATH: PROBLEM.
func (d Diagnostic) String() string {
	var b strings.Builder
	b.WriteString(d.File)
	if d.Line > 0 {
		fmt.Fprintf(&b, ":%d", d.Line)
	}
	b.WriteString(": ")
	if d.Path != "" {
		b.WriteString(d.Path + ": ")
	}
	b.WriteString(d.Problem)
	return b.String()
}

// quote returns a value in quotes for a message.
func quote(s string) string {
	return strconv.Quote(s)
}

// join returns values separated by commas for a message.
func join(s []string) string {
	return strings.Join(s, ", ")
}
