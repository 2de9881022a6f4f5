package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// MaxFileBytes bounds a register or rules file.
const MaxFileBytes = 8 << 20

// maxDepth bounds the nesting of brackets in a file. Its syntax tree may be four times as
// deep. The schema needs six levels.
const maxDepth = 32

// DecodeRegister decodes a YAML register and refuses unknown fields. The error is a
// *DecodeError; path is only used in the error.
func DecodeRegister(path string, data []byte) (*bronzeturnv1.Register, error) {
	reg := &bronzeturnv1.Register{}
	if err := decode(path, data, reg); err != nil {
		return nil, err
	}
	return reg, nil
}

// DecodeRules decodes YAML rules and refuses unknown fields. Durations have the form
// "2s" or "0.5s". The error is a *DecodeError; path is only used in the error.
func DecodeRules(path string, data []byte) (*bronzeturnv1.Rules, error) {
	rules := &bronzeturnv1.Rules{}
	if err := decode(path, data, rules); err != nil {
		return nil, err
	}
	return rules, nil
}

func decode(path string, data []byte, into proto.Message) error {
	body, err := parse(path, data)
	if err != nil || body == nil {
		return err
	}
	if err := checkNodes(path, body); err != nil {
		return err
	}
	var value any
	if err := yaml.NodeToValue(body, &value); err != nil {
		return syntaxError(path, err)
	}
	if value == nil {
		return nil
	}
	if err := fromValue(value, into); err != nil {
		return locate(path, body, into.ProtoReflect().Descriptor(), err)
	}
	return nil
}

// parse returns the root node of a file with one document, or nil if the file is
// empty.
func parse(path string, data []byte) (ast.Node, error) {
	if len(data) > MaxFileBytes {
		message := fmt.Sprintf("file of %d bytes is above the limit of %d", len(data), MaxFileBytes)
		return nil, &DecodeError{File: path, Message: message}
	}
	if err := checkFlowDepth(path, data); err != nil {
		return nil, err
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	if len(file.Docs) == 0 {
		return nil, nil
	}
	if len(file.Docs) > 1 {
		return nil, &DecodeError{File: path, Message: "more than one document in the file"}
	}
	return file.Docs[0].Body, nil
}

// fromValue converts a decoded YAML value to a message by way of JSON.
func fromValue(value any, into proto.Message) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(text, into)
}

// syntaxError converts an error of the YAML library to a DecodeError.
func syntaxError(path string, err error) *DecodeError {
	out := &DecodeError{File: path, Message: err.Error()}
	var y yaml.Error
	if !errors.As(err, &y) {
		return out
	}
	out.Message = y.GetMessage()
	if tok := y.GetToken(); tok != nil && tok.Position != nil {
		out.Line, out.Column = tok.Position.Line, tok.Position.Column
	}
	return out
}

// checkFlowDepth bounds the nesting of brackets before the file reaches the
// recursive parser. Brackets inside quoted strings are counted too: valid names and
// texts do not hold enough of them to matter.
func checkFlowDepth(path string, data []byte) error {
	depth := 0
	for _, c := range data {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		}
		if depth > maxDepth {
			return &DecodeError{File: path, Message: "brackets nested too deeply"}
		}
	}
	return nil
}

// nodeChecker refuses deep nesting, and aliases, by which a small file can expand to
// a huge value.
type nodeChecker struct {
	path  string
	depth int
	fail  *error
}

func checkNodes(path string, body ast.Node) error {
	var fail error
	ast.Walk(nodeChecker{path: path, fail: &fail}, body)
	return fail
}

// Visit implements ast.Visitor.
func (c nodeChecker) Visit(node ast.Node) ast.Visitor {
	if *c.fail != nil {
		return nil
	}
	switch node.Type() {
	case ast.AliasType, ast.AnchorType, ast.MergeKeyType, ast.TagType:
		*c.fail = errorAt(c.path, node, "", "anchors, aliases, merge keys and tags are not supported")
		return nil
	}
	c.depth++
	if c.depth > 4*maxDepth {
		*c.fail = errorAt(c.path, node, "", "nested too deeply")
		return nil
	}
	return c
}

// errorAt returns a DecodeError with the position of the node.
func errorAt(path string, node ast.Node, field, message string) *DecodeError {
	out := &DecodeError{File: path, Path: field, Message: message}
	if tok := node.GetToken(); tok != nil && tok.Position != nil {
		out.Line, out.Column = tok.Position.Line, tok.Position.Column
	}
	return out
}
