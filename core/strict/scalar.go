package strict

import (
	"encoding"
	"errors"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// scalar reads one value, then holds it to the range of its tag.
func (r *reader) scalar(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	fresh := reflect.New(v.Type()).Elem()
	if reason := read(fresh, n); reason != "" {
		r.fault(n, key, reason)
		return
	}
	if reason := outside(fresh, tag); reason != "" {
		r.fault(n, key, reason)
		return
	}
	v.Set(fresh)
}

// read sets v from a node and returns what is wrong with it, or nothing.
func read(v reflect.Value, n ast.Node) string {
	if isText(v) {
		return readText(v, n)
	}
	switch v.Kind() {
	case reflect.String:
		return readString(v, n)
	case reflect.Bool:
		return readBool(v, n)
	case reflect.Float64:
		return readFloat(v, n)
	case reflect.Int, reflect.Int64, reflect.Int32:
		return readInt(v, n)
	default:
		return "cannot be set: " + v.Type().String()
	}
}

// isText tells whether values of v's type are written as text with a meaning.
func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok || v.Type() == durationType
}

// readText takes plain text only: an amount as a bare number has no unit.
func readText(v reflect.Value, n ast.Node) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		switch n.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return "is a bare number; " + hintOf(v)
		}
		return "has to be text, is " + kindOf(n) + "; " + hintOf(v)
	}
	return setText(v, s.Value)
}

func hintOf(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return `write a duration with its unit, as in "30s"`
	case v.Type() == addressType:
		return `write an IP number and a port, as in "10.0.0.1:8080"`
	case v.CanInt():
		return `write an amount with its unit, as in "512MiB"`
	default:
		return "write it as text"
	}
}

// setText sets v from text and returns what is wrong with it, or nothing.
func setText(v reflect.Value, text string) string {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return strconv.Quote(text) + " is no duration; " + hintOf(v)
		}
		v.SetInt(int64(d))
		return ""
	}
	to := v.Addr().Interface().(encoding.TextUnmarshaler)
	err := to.UnmarshalText([]byte(text))
	switch {
	case err == nil:
		return ""
	case v.Type() == addressType:
		return strconv.Quote(text) + " is no address; " + hintOf(v)
	default:
		return err.Error()
	}
}

func readString(v reflect.Value, n ast.Node) string {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	default:
		return "has to be text, is " + kindOf(n) + "; put it in quotes if it is meant as text"
	}
	return ""
}

func readBool(v reflect.Value, n ast.Node) string {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		return "has to be true or false, is " + kindOf(n)
	}
	v.SetBool(b.Value)
	return ""
}

func readInt(v reflect.Value, n ast.Node) string {
	whole, ok := n.(*ast.IntegerNode)
	if !ok {
		return "has to be a whole number, is " + kindOf(n)
	}
	if !isDecimal(whole) {
		return notDecimal
	}
	var number int64
	switch x := whole.Value.(type) {
	case int64:
		number = x
	case uint64:
		if x > math.MaxInt64 {
			return "is too large"
		}
		number = int64(x)
	default:
		return "is too large"
	}
	if v.OverflowInt(number) {
		return "is too large"
	}
	v.SetInt(number)
	return ""
}

func readFloat(v reflect.Value, n ast.Node) string {
	switch x := n.(type) {
	case *ast.FloatNode:
		if !isDecimal(x) {
			return notDecimal
		}
		if math.IsInf(x.Value, 0) || math.IsNaN(x.Value) {
			return "is too large"
		}
		v.SetFloat(x.Value)
	case *ast.IntegerNode:
		if !isDecimal(x) {
			return notDecimal
		}
		f, err := strconv.ParseFloat(integerText(x), 64)
		if err != nil {
			return "is no number that can be held"
		}
		v.SetFloat(f)
	case *ast.StringNode:
		f, ok := exponent(x)
		if !ok {
			return "has to be a number, is text"
		}
		v.SetFloat(f)
	default:
		return "has to be a number, is " + kindOf(n)
	}
	return ""
}

// exponent reads a JSON number such as 1e-05, which YAML takes for text since it
// has no point.
func exponent(n *ast.StringNode) (float64, bool) {
	if n.Token.Type != token.StringType || !isDecimal(n) {
		return 0, false
	}
	f, err := strconv.ParseFloat(n.Value, 64)
	return f, err == nil
}

const notDecimal = "has to be written in decimal digits, without separators or leading zeros"

// isDecimal tells whether a number is written as everybody reads it. YAML also
// takes 010 for eight, 0x10 for sixteen and 1_0 for ten.
func isDecimal(n ast.Node) bool {
	text := strings.TrimLeft(n.GetToken().Value, "+-")
	if len(text) > 1 && text[0] == '0' && text[1] >= '0' && text[1] <= '9' {
		return false
	}
	return strings.Trim(text, "0123456789.eE+-") == ""
}

func integerText(n *ast.IntegerNode) string {
	switch x := n.Value.(type) {
	case int64:
		return strconv.FormatInt(x, 10)
	case uint64:
		return strconv.FormatUint(x, 10)
	default:
		return ""
	}
}

// outside tells how a value breaks the range of its tag, or nothing.
func outside(v reflect.Value, tag reflect.StructTag) string {
	if low, ok := bound(v, tag.Get("min")); ok && less(v, low) {
		return "is below the least value, " + tag.Get("min")
	}
	if high, ok := bound(v, tag.Get("max")); ok && less(high, v) {
		return "is above the largest value, " + tag.Get("max")
	}
	return ""
}

// bound reads the text of a tag as a value of v's type.
func bound(v reflect.Value, text string) (reflect.Value, bool) {
	if text == "" {
		return reflect.Value{}, false
	}
	b := reflect.New(v.Type()).Elem()
	if err := setPlain(b, text); err != nil {
		panic(err)
	}
	return b, true
}

func less(a, b reflect.Value) bool {
	switch {
	case a.CanInt():
		return a.Int() < b.Int()
	case a.CanFloat():
		return a.Float() < b.Float()
	default:
		return false
	}
}

// TagError reports a struct tag that cannot be read as a value of its field. It
// is a fault of the program, found by the first test that uses the struct.
type TagError struct {
	Type string
	Text string
	// Reason is what the field's type says against the text.
	Reason string
}

// Error implements error.
func (e *TagError) Error() string {
	return "tag " + strconv.Quote(e.Text) + " of type " + e.Type + ": " + e.Reason
}

// setPlain sets v from the text of a tag.
func setPlain(v reflect.Value, text string) error {
	if isText(v) {
		if reason := setText(v, text); reason != "" {
			return &TagError{Type: v.Type().String(), Text: text, Reason: reason}
		}
		return nil
	}
	var err error
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		var b bool
		b, err = strconv.ParseBool(text)
		v.SetBool(b)
	case reflect.Float64:
		var f float64
		f, err = strconv.ParseFloat(text, 64)
		v.SetFloat(f)
	default:
		var i int64
		i, err = strconv.ParseInt(text, 10, 64)
		v.SetInt(i)
	}
	var num *strconv.NumError
	if errors.As(err, &num) {
		return &TagError{Type: v.Type().String(), Text: text, Reason: num.Error()}
	}
	return nil
}
