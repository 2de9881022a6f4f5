package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
)

// programName is the program's name in the help text.
const programName = "bronzeturnd"

// boolText is the unparsed value of a boolean flag. As kong does not parse it, an
// invalid value does not end the parse and is reported with the other faults.
type boolText string

// IsBool implements kong.BoolMapperValue.
func (*boolText) IsBool() bool { return true }

// Decode implements kong.MapperValue.
func (t *boolText) Decode(ctx *kong.DecodeContext) error {
	*t = "true"
	if ctx.Scan.Peek().Type == kong.FlagValueToken {
		*t = boolText(fmt.Sprint(ctx.Scan.Pop().Value))
	}
	return nil
}

// flagStruct returns a pointer to a new struct for kong, with one field for the
// unparsed value of each option.
func flagStruct() reflect.Value {
	fields := make([]reflect.StructField, len(options))
	for i, o := range options {
		fields[i] = reflect.StructField{
			Name: fmt.Sprintf("Field%d", o.field.Number()),
			Type: o.textType(),
			Tag:  o.kongTag(),
		}
	}
	return reflect.New(reflect.StructOf(fields))
}

// textType returns the type of the option's field in flagStruct.
func (o option) textType() reflect.Type {
	switch {
	case o.field.IsList():
		return reflect.TypeFor[[]string]()
	case o.isBool():
		return reflect.TypeFor[boolText]()
	default:
		return reflect.TypeFor[string]()
	}
}

// kongTag returns the tag of the option's field in flagStruct.
func (o option) kongTag() reflect.StructTag {
	help := fmt.Sprintf("%s ($%s)", o.flag.GetHelp(), o.flag.GetEnv())
	tag := fmt.Sprintf("name:%q help:%q", o.flag.GetName(), help)
	if o.flag.GetDefault() != "" {
		tag += fmt.Sprintf(" default:%q", o.flag.GetDefault())
	}
	if o.flag.GetUnit() != "" {
		tag += fmt.Sprintf(" placeholder:%q", strings.ToUpper(o.flag.GetUnit()))
	}
	return reflect.StructTag(tag)
}

func newParser(target any, environ []string, w io.Writer) (*kong.Kong, error) {
	return kong.New(target,
		kong.Name(programName),
		kong.Description("Daemon of bronzeturn. Each flag can be given by its environment variable."),
		kong.Resolvers(environmentResolver(environ)),
		kong.Writers(w, w),
		kong.Exit(func(int) {}),
	)
}

// parseFlags returns the unparsed values by flag name: those of the command line,
// else of the environment variable, else the default.
func parseFlags(args, environ []string) (map[string][]string, error) {
	for _, arg := range args {
		if arg == "--help" || arg == "-h" {
			return nil, ErrHelp
		}
	}
	target := flagStruct()
	parser, err := newParser(target.Interface(), environ, io.Discard)
	if err != nil {
		return nil, fmt.Errorf("build parser: %w", err)
	}
	if _, err := parser.Parse(args); err != nil {
		return nil, fmt.Errorf("parse arguments: %w", err)
	}
	texts := make(map[string][]string, len(options))
	for i, o := range options {
		texts[o.flag.GetName()] = fieldTexts(target.Elem().Field(i))
	}
	return texts, nil
}

// fieldTexts returns the values in a field of flagStruct.
func fieldTexts(v reflect.Value) []string {
	if list, ok := v.Interface().([]string); ok {
		return list
	}
	if v.String() == "" {
		return nil
	}
	return []string{v.String()}
}

// environmentResolver returns a resolver that takes the values of flags from their
// variables in environ.
func environmentResolver(environ []string) kong.Resolver {
	values := make(map[string]string)
	for _, entry := range environ {
		key, value, _ := strings.Cut(entry, "=")
		values[key] = value
	}
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		o, ok := optionNamed(flag.Name)
		if !ok || values[o.flag.GetEnv()] == "" {
			return nil, nil
		}
		return values[o.flag.GetEnv()], nil
	})
}

// checkArgs reports the arguments at which the parser would stop, so that they are
// listed together with the other faults, and returns the remaining ones. If the
// arguments ask for help, it returns that argument only.
func checkArgs(args []string) (rest []string, found problems) {
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if arg == "--help" || arg == "-h" {
			return []string{arg}, nil
		}
		name, _, hasValue := strings.Cut(strings.TrimPrefix(arg, "--"), "=")
		o, known := optionNamed(name)
		next := i+1 < len(args) && !strings.HasPrefix(args[i+1], "-")
		switch {
		case !strings.HasPrefix(arg, "--") || !known:
			found = append(found, Problem{Flag: arg, Message: "no such setting"})
		case hasValue || o.isBool():
			rest = append(rest, arg)
		case !next:
			found.add(name, "needs a value")
		default:
			rest = append(rest, arg, args[i+1])
			i++
		}
	}
	return rest, found
}

// WriteHelp writes the help text: all flags with their variables and defaults.
func WriteHelp(w io.Writer) error {
	parser, err := newParser(flagStruct().Interface(), nil, w)
	if err != nil {
		return fmt.Errorf("build parser: %w", err)
	}
	if _, err := parser.Parse([]string{"--help"}); err != nil {
		return fmt.Errorf("write help: %w", err)
	}
	return nil
}
