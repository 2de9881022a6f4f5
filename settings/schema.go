package settings

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// option is a field of message Settings with the description of its flag.
type option struct {
	field protoreflect.FieldDescriptor
	flag  *bronzeturnv1.Flag
}

// options holds all settings in the order of the fields of message Settings.
var options = readOptions()

func readOptions() []option {
	fields := (&bronzeturnv1.Settings{}).ProtoReflect().Descriptor().Fields()
	list := make([]option, 0, fields.Len())
	for i := range fields.Len() {
		field := fields.Get(i)
		flag, _ := proto.GetExtension(field.Options(), bronzeturnv1.E_Flag).(*bronzeturnv1.Flag)
		list = append(list, option{field: field, flag: flag})
	}
	return list
}

// optionNamed returns the option of a flag. The name has no leading dashes.
func optionNamed(name string) (option, bool) {
	for _, o := range options {
		if o.flag.GetName() == name {
			return o, true
		}
	}
	return option{}, false
}

func (o option) isBool() bool { return o.field.Kind() == protoreflect.BoolKind }
