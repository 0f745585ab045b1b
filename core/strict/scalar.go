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

// scalar decodes a single value and checks it against the range of its tag.
func (dec *decoder) scalar(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	fresh := reflect.New(v.Type()).Elem()
	if text, ok := nameText(n, tag); ok {
		v.SetString(text)
		return
	}
	if reason := decodeScalar(fresh, n); reason != "" {
		dec.addProblem(n, key, reason)
		return
	}
	if reason := rangeFault(fresh, tag); reason != "" {
		dec.addProblem(n, key, reason)
		return
	}
	v.Set(fresh)
}

// nameText returns the text of a name that YAML reads as a value of another type, as it is written.
// It reports false for other values, and for those that are not written at all.
func nameText(n ast.Node, tag reflect.StructTag) (string, bool) {
	if tag.Get("name") != "true" {
		return "", false
	}
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode, *ast.NullNode:
		at := n.GetToken()
		return at.Value, at.Type != token.ImplicitNullType
	}
	return "", false
}

// decodeScalar sets v from a node. It returns the fault of the value, or "" if there is
// none; so do the functions for the single types.
func decodeScalar(v reflect.Value, n ast.Node) string {
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

// isText reports whether values of v's type are written as text that has to be parsed.
func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok || v.Type() == durationType
}

// readText decodes a value that is written as text. It refuses a plain number, which
// would be an amount without a unit.
func readText(v reflect.Value, n ast.Node) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		switch n.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return "is a bare number; " + hint(v)
		}
		return "has to be text, is " + kindOf(n) + "; " + hint(v)
	}
	return setText(v, s.Value)
}

func hint(v reflect.Value) string {
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

// setText sets v from text. It returns the fault of the text, or "" if there is none.
func setText(v reflect.Value, text string) string {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return strconv.Quote(text) + " is no duration; " + hint(v)
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
		return strconv.Quote(text) + " is no address; " + hint(v)
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

// exponent parses a JSON number such as 1e-05, which the YAML parser treats as text
// because it has no decimal point.
func exponent(n *ast.StringNode) (float64, bool) {
	if n.Token.Type != token.StringType || !isDecimal(n) {
		return 0, false
	}
	f, err := strconv.ParseFloat(n.Value, 64)
	return f, err == nil
}

const notDecimal = "has to be written in decimal digits, without separators or leading zeros"

// isDecimal reports whether a number is written in plain decimal digits. YAML also
// accepts 010 for eight, 0x10 for sixteen and 1_0 for ten.
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

// rangeFault describes how a value violates the range of its tag. It returns "" if the
// value is in range.
func rangeFault(v reflect.Value, tag reflect.StructTag) string {
	if low, ok := bound(v, tag.Get("min")); ok && less(v, low) {
		return "is below the least value, " + tag.Get("min")
	}
	if high, ok := bound(v, tag.Get("max")); ok && less(high, v) {
		return "is above the largest value, " + tag.Get("max")
	}
	return ""
}

// bound parses the text of a tag as a value of v's type. ok is false if the text is
// empty. It panics if the text cannot be parsed.
func bound(v reflect.Value, text string) (reflect.Value, bool) {
	if text == "" {
		return reflect.Value{}, false
	}
	b := reflect.New(v.Type()).Elem()
	if err := setFromTag(b, text); err != nil {
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

// TagError reports a struct tag that cannot be parsed as a value of its field. It is a
// programming error, which the first test that uses the struct detects.
type TagError struct {
	Type string
	Text string
	// Reason is the error of the parser for the field's type.
	Reason string
}

// Error implements error.
func (e *TagError) Error() string {
	return "tag " + strconv.Quote(e.Text) + " of type " + e.Type + ": " + e.Reason
}

// setFromTag sets v from the text of a tag. Its error is a TagError.
func setFromTag(v reflect.Value, text string) error {
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
