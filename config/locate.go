package config

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

// locator finds the node that does not conform to the schema. It is used only after
// the file as a whole could not be decoded.
type locator struct {
	file string
}

// locate returns an error for the first node that does not conform to the schema. If
// each node conforms on its own, the error has the text of cause and no position.
func locate(file string, body ast.Node, md protoreflect.MessageDescriptor, cause error) *DecodeError {
	l := locator{file: file}
	if found := l.message(body, md, ""); found != nil {
		return found
	}
	return &DecodeError{File: file, Message: cause.Error()}
}

// message checks a mapping against a message type.
func (l locator) message(node ast.Node, md protoreflect.MessageDescriptor, path string) *DecodeError {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return errorAt(l.file, node, path, "expected a mapping")
	}
	for it := mapping.MapRange(); it.Next(); {
		if found := l.entry(it.KeyValue(), md, path); found != nil {
			return found
		}
	}
	return nil
}

// entry checks one key and its value.
func (l locator) entry(kv *ast.MappingValueNode, md protoreflect.MessageDescriptor, path string) *DecodeError {
	name := kv.Key.GetToken().Value
	field := name
	if path != "" {
		field = path + "." + name
	}
	fd := fieldByName(md, name)
	if fd == nil {
		return errorAt(l.file, kv.Key, field, "unknown field")
	}
	if !fd.IsList() {
		return l.value(kv.Value, fd, field)
	}
	list, ok := kv.Value.(ast.ArrayNode)
	if !ok && kv.Value.Type() == ast.NullType {
		return nil
	}
	if !ok {
		return errorAt(l.file, kv.Value, field, "expected a list")
	}
	i := 0
	for it := list.ArrayRange(); it.Next(); i++ {
		if found := l.value(it.Value(), fd, fmt.Sprintf("%s[%d]", field, i)); found != nil {
			return found
		}
	}
	return nil
}

func fieldByName(md protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if fd := md.Fields().ByName(protoreflect.Name(name)); fd != nil {
		return fd
	}
	return md.Fields().ByJSONName(name)
}

// value checks a value, or one element of a list, against its field.
func (l locator) value(node ast.Node, fd protoreflect.FieldDescriptor, path string) *DecodeError {
	if sub := fd.Message(); sub != nil && sub.ParentFile() == fd.ParentFile() {
		return l.message(node, sub, path)
	}
	return l.leaf(node, fd, path)
}

// leaf checks that the node on its own decodes as a value of the field.
func (l locator) leaf(node ast.Node, fd protoreflect.FieldDescriptor, path string) *DecodeError {
	var value any
	if err := yaml.NodeToValue(node, &value); err != nil {
		return errorAt(l.file, node, path, err.Error())
	}
	if fd.IsList() {
		value = []any{value}
	}
	holder := dynamicpb.NewMessage(fd.ContainingMessage())
	if err := fromValue(map[string]any{fd.JSONName(): value}, holder); err != nil {
		return errorAt(l.file, node, path, "expected "+describe(fd))
	}
	return nil
}

// describe names the type of one element of the field.
func describe(fd protoreflect.FieldDescriptor) string {
	switch fd.Kind() {
	case protoreflect.EnumKind:
		return "one of the names of " + string(fd.Enum().Name())
	case protoreflect.MessageKind:
		return "a " + string(fd.Message().Name())
	default:
		return fd.Kind().String()
	}
}
