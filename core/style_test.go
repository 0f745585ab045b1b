package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// source is one parsed Go file of the module.
type source struct {
	path string
	file *ast.File
	set  *token.FileSet
}

// styleRule is a numbered rule of docs/STYLE.md that is checked automatically.
type styleRule struct {
	id   string
	text string
	// find returns the violations of the rule in a file.
	find func(s source) []violation
}

type violation struct {
	pos     token.Pos
	problem string
}

var styleRules = []styleRule{
	{"RS1001", "core does no input or output and reads no wall clock", findIO},
	{"RS1002", "package names have four to six letters", findLongPackage},
	{"RS1003", "every failure has a type: no errors made of bare strings", findBareError},
	{"RS1004", "product code starts no process", findProcess},
}

// ioImports are the packages that core and the packages below it must not use.
var ioImports = []string{"net", "net/http", "net/rpc", "os", "os/signal", "syscall", "k8s.io/klog/v2", "math/rand"}

// clockCalls read the clock, sleep or start timers.
var clockCalls = []string{"time.Now", "time.Sleep", "time.After", "time.AfterFunc", "time.NewTimer", "time.NewTicker", "time.Tick", "time.Since", "time.Until"}

// bareErrors create errors that callers can distinguish only by their text.
var bareErrors = []string{"errors.New", "fmt.Errorf", "oops.Errorf", "oops.New"}

func TestStyle(t *testing.T) {
	sources := parseModule(t, "..")
	for _, rule := range styleRules {
		t.Run(rule.id, func(t *testing.T) {
			for _, s := range sources {
				for _, v := range rule.find(s) {
					t.Errorf("%s: %s: %s", s.set.Position(v.pos), rule.text, v.problem)
				}
			}
		})
	}
}

func TestStyleRulesFind(t *testing.T) {
	for _, rule := range styleRules {
		t.Run(rule.id, func(t *testing.T) {
			set := token.NewFileSet()
			path := filepath.Join("testdata", "style", rule.id+".go.txt")
			file, err := parser.ParseFile(set, path, nil, 0)
			assert.NilError(t, err)
			found := rule.find(source{path: "core/example/example.go", file: file, set: set})
			assert.Assert(t, len(found) > 0, "the rule finds nothing in its testdata")
		})
	}
}

func findIO(s source) []violation {
	if !strings.HasPrefix(s.path, "core/") {
		return nil
	}
	found := findCalls(s.file, clockCalls)
	for _, spec := range s.file.Imports {
		for _, bad := range ioImports {
			if strings.Trim(spec.Path.Value, `"`) == bad {
				found = append(found, violation{spec.Pos(), "imports " + bad})
			}
		}
	}
	return found
}

func findLongPackage(s source) []violation {
	name := s.file.Name.Name
	if n := len(name); name == "main" || n >= 4 && n <= 6 {
		return nil
	}
	return []violation{{s.file.Name.Pos(), "package " + name}}
}

func findBareError(s source) []violation { return findCalls(s.file, bareErrors) }

// findProcess exempts only io/soak: it is a developer tool that has to run the
// real programs as processes, and TestServingLinksNoTools checks that no serving
// program links it.
func findProcess(s source) []violation {
	if strings.HasPrefix(s.path, "io/soak/") {
		return nil
	}
	return findCalls(s.file, []string{"exec.Command", "exec.CommandContext", "os.StartProcess", "syscall.ForkExec"})
}

func findCalls(file *ast.File, names []string) []violation {
	var found []violation
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		left, ok := sel.X.(*ast.Ident)
		if !ok {
			return true
		}
		for _, name := range names {
			if left.Name+"."+sel.Sel.Name == name {
				found = append(found, violation{sel.Pos(), "uses " + name})
			}
		}
		return true
	})
	return found
}

// TestServingLinksNoTools checks that only the developers' command line links
// io/soak: the soak test starts processes, which no serving program may do.
func TestServingLinksNoTools(t *testing.T) {
	for _, s := range parseModule(t, "..") {
		for _, spec := range s.file.Imports {
			if spec.Path.Value == `"radishwell/io/soak"` {
				assert.Equal(t, path.Dir(s.path), "io/cmds", s.path)
			}
			if spec.Path.Value == `"radishwell/io/cmds"` {
				assert.Assert(t, strings.HasPrefix(s.path, "cmd/") && !strings.HasPrefix(s.path, "cmd/hosted/"), s.path)
			}
		}
	}
}

// parseModule parses all Go files below root except tests and generated code.
func parseModule(t *testing.T, root string) []source {
	t.Helper()
	var sources []source
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && path != root && strings.HasPrefix(name, ".") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") {
			return nil
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		sources = append(sources, source{path: filepath.ToSlash(rel), file: file, set: set})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(sources) > 0)
	return sources
}
