package client_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/client"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

const page = "../docs/caller-api.md"

// operators' kinds never reach a caller.
var operators = map[fault.Kind]bool{fault.NotFound: true, fault.Conflict: true, fault.ConfigInvalid: true,
	fault.PlatformUnavailable: true, fault.WriteUnknown: true}

// Guards against a page that differs from the error kinds, the headers or the paths of the code.
func TestPageAgreesWithTheCode(t *testing.T) {
	b, err := os.ReadFile(page)
	assert.NilError(t, err)
	text := string(b)
	for _, k := range fault.Kinds() {
		a := k.Properties()
		again := map[bool]string{true: "yes", false: "no"}[a.Retryable]
		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s | %s | %s |\n", a.Name, a.Status, a.Outcome, again,
			client.AdviceFor(k, a.Outcome, false), client.AdviceFor(k, a.Outcome, true), a.Meaning)
		assert.Check(t, strings.Contains(text, row) != operators[k], "row: %s", row)
	}
	known := headerNames(t)
	for name := range known {
		assert.Check(t, strings.Contains(text, "`"+name+"`"), "header %s is not on the page", name)
	}
	for _, name := range regexp.MustCompile("`(mustardmast-[a-z-]+)`").FindAllStringSubmatch(text, -1) {
		assert.Check(t, known[name[1]], "header %s does not exist", name[1])
	}
	assert.Check(t, strings.Contains(text, "`POST "+client.IDsPath+"?count=N`"))
}

// headerNames reads the constants of io/header, so that a new one cannot be missed.
func headerNames(t *testing.T) map[string]bool {
	f, err := parser.ParseFile(token.NewFileSet(), "../io/header/header.go", nil, 0)
	assert.NilError(t, err)
	names := map[string]bool{}
	ast.Inspect(f, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			v, err := strconv.Unquote(l.Value)
			assert.NilError(t, err)
			if strings.HasPrefix(v, header.Prefix) && v != header.Prefix {
				names[strings.ToLower(v)] = true
			}
		}
		return true
	})
	assert.Assert(t, len(names) > 10)
	return names
}
