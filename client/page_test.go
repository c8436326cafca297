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

const pagePath = "../docs/caller-api.md"

// operatorKinds are the error kinds that only operators receive, never callers.
var operatorKinds = map[fault.Kind]bool{fault.NotFound: true, fault.Conflict: true, fault.ConfigInvalid: true,
	fault.PlatformUnavailable: true, fault.WriteUnknown: true}

// Guards against an API page that differs from the error kinds, the headers or the paths in the code.
func TestPageAgreesWithCode(t *testing.T) {
	b, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	text := string(b)
	for _, k := range fault.Kinds() {
		p := k.Properties()
		retryable := map[bool]string{true: "yes", false: "no"}[p.Retryable]
		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s | %s | %s |\n", p.Name, p.Status, p.Outcome, retryable,
			client.AdviceFor(k, p.Outcome, false), client.AdviceFor(k, p.Outcome, true), p.Meaning)
		assert.Check(t, strings.Contains(text, row) != operatorKinds[k], "row: %s", row)
	}
	headers := headerNames(t)
	for name := range headers {
		assert.Check(t, strings.Contains(text, "`"+name+"`"), "header %s is not on the page", name)
	}
	for _, name := range regexp.MustCompile("`(mustardmast-[a-z-]+)`").FindAllStringSubmatch(text, -1) {
		assert.Check(t, headers[name[1]], "header %s does not exist", name[1])
	}
	assert.Check(t, strings.Contains(text, "`POST "+client.IDsPath+"?count=N`"))
}

// headerNames parses the header names from the source of io/header, so that new ones are included.
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
