package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
)

// programName is the name shown by the help.
const programName = "bronzeturnd"

// switchText keeps the text of a switch, so that a wrong value is reported
// together with the other faults instead of ending the parse.
type switchText string

// IsBool implements kong.BoolMapperValue.
func (*switchText) IsBool() bool { return true }

// Decode implements kong.MapperValue.
func (t *switchText) Decode(ctx *kong.DecodeContext) error {
	*t = "true"
	if ctx.Scan.Peek().Type == kong.FlagValueToken {
		*t = switchText(fmt.Sprint(ctx.Scan.Pop().Value))
	}
	return nil
}

// flagStruct returns a pointer to a new struct with one text field per option
// and kong's tags.
func flagStruct() reflect.Value {
	fields := make([]reflect.StructField, len(options))
	for i, o := range options {
		fields[i] = reflect.StructField{
			Name: fmt.Sprintf("Field%d", o.field.Number()),
			Type: o.textType(),
			Tag:  o.tag(),
		}
	}
	return reflect.New(reflect.StructOf(fields))
}

func (o option) textType() reflect.Type {
	switch {
	case o.field.IsList():
		return reflect.TypeFor[[]string]()
	case o.isSwitch():
		return reflect.TypeFor[switchText]()
	default:
		return reflect.TypeFor[string]()
	}
}

func (o option) tag() reflect.StructTag {
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
		kong.Resolvers(environment(environ)),
		kong.Writers(w, w),
		kong.Exit(func(int) {}),
	)
}

// parseFlags returns the texts of each flag: those of the command line, else
// that of its variable, else the default.
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

func fieldTexts(v reflect.Value) []string {
	if list, ok := v.Interface().([]string); ok {
		return list
	}
	if v.String() == "" {
		return nil
	}
	return []string{v.String()}
}

// environment resolves flags by their variables in environ.
func environment(environ []string) kong.Resolver {
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

// inspectArgs reports the arguments that the parser would stop at, so that
// they are listed with the other faults, and returns the rest.
func inspectArgs(args []string) (rest []string, found problems) {
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
		case hasValue || o.isSwitch():
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

// WriteHelp writes the list of flags with their variables and defaults.
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
