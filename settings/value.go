package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Errors for a single value.
var (
	errMissing  = errors.New("must be given")
	errBool     = errors.New("must be true or false")
	errInteger  = errors.New("must be a whole number")
	errNumber   = errors.New("must be a number")
	errDuration = errors.New(`must be a duration such as "500ms" or "2m"`)
	errName     = errors.New("must be made of letters, digits, dots, dashes and underscores")
	errAddress  = errors.New("must be an IP address and a port, such as 10.0.0.1:8080")
	errListen   = errors.New("must be an IP address and a port, such as 0.0.0.0:8080")
	errURL      = errors.New("must be an http or https URL without query")
)

// boundError reports a value outside its bounds.
type boundError struct {
	min, max, unit string
}

// Error implements error.
func (e *boundError) Error() string {
	return strings.TrimSpace(fmt.Sprintf("must be from %s to %s %s", e.min, e.max, e.unit))
}

// choiceError reports a value that is not among the accepted ones.
type choiceError struct {
	values []string
}

// Error implements error.
func (e *choiceError) Error() string {
	return "must be one of " + strings.Join(e.values, ", ")
}

// set converts and checks the values of the option and stores them in the message.
func (o option) set(m protoreflect.Message, texts []string) error {
	if len(texts) == 0 {
		if o.flag.GetRequired() {
			return errMissing
		}
		return nil
	}
	if o.field.IsList() {
		return o.setList(m, texts)
	}
	value, err := o.parse(texts[0])
	if err != nil {
		return err
	}
	m.Set(o.field, value)
	return nil
}

// setList is set for a repeated field.
func (o option) setList(m protoreflect.Message, texts []string) error {
	list := m.Mutable(o.field).List()
	for _, text := range texts {
		value, err := o.parse(text)
		if err != nil {
			return err
		}
		list.Append(value)
	}
	return nil
}

// parse converts one value to the type of the option's field and checks it.
func (o option) parse(text string) (protoreflect.Value, error) {
	switch o.field.Kind() {
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return protoreflect.Value{}, errBool
		}
		return protoreflect.ValueOfBool(b), nil
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return o.parseInteger(text)
	case protoreflect.DoubleKind:
		n, err := o.parseBounded(text, parseNumber, errNumber)
		return protoreflect.ValueOfFloat64(n), err
	case protoreflect.MessageKind:
		seconds, err := o.parseBounded(text, parseSeconds, errDuration)
		d := durationpb.New(time.Duration(math.Round(seconds * float64(time.Second))))
		return protoreflect.ValueOfMessage(d.ProtoReflect()), err
	default:
		return protoreflect.ValueOfString(text), o.checkText(text)
	}
}

func (o option) parseInteger(text string) (protoreflect.Value, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return protoreflect.Value{}, errInteger
	}
	if _, err := o.parseBounded(text, parseNumber, errInteger); err != nil {
		return protoreflect.Value{}, err
	}
	if o.field.Kind() == protoreflect.Int32Kind {
		return protoreflect.ValueOfInt32(int32(n)), nil
	}
	return protoreflect.ValueOfInt64(n), nil
}

// parseBounded converts the text and checks it against the bounds of the flag. It
// returns invalid if the text can't be converted.
func (o option) parseBounded(text string, convert func(string) (float64, error), invalid error) (float64, error) {
	n, err := convert(text)
	if err != nil || math.IsNaN(n) {
		return 0, invalid
	}
	low, _ := convert(o.flag.GetMin())
	high, _ := convert(o.flag.GetMax())
	if n < low || n > high {
		return 0, &boundError{min: o.flag.GetMin(), max: o.flag.GetMax(), unit: o.boundUnit()}
	}
	return n, nil
}

// boundUnit returns the unit to print after a bound. The bounds of durations include
// their units.
func (o option) boundUnit() string {
	if o.field.Kind() == protoreflect.MessageKind {
		return ""
	}
	return o.flag.GetUnit()
}

func parseNumber(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func parseSeconds(text string) (float64, error) {
	d, err := time.ParseDuration(text)
	return d.Seconds(), err
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// checkText checks a string against the accepted values and the format of the flag.
func (o option) checkText(text string) error {
	if values := o.flag.GetValues(); len(values) > 0 && !slices.Contains(values, text) {
		return &choiceError{values: values}
	}
	switch o.flag.GetFormat() {
	case bronzeturnv1.Format_FORMAT_NAME:
		return errorUnless(namePattern.MatchString(text), errName)
	case bronzeturnv1.Format_FORMAT_ADDRESS:
		return errorUnless(isAddress(text), errAddress)
	case bronzeturnv1.Format_FORMAT_LISTEN:
		_, err := netip.ParseAddrPort(text)
		return errorUnless(err == nil, errListen)
	case bronzeturnv1.Format_FORMAT_URL:
		return errorUnless(isURL(text), errURL)
	default:
		return nil
	}
}

// errorUnless returns nil if ok is true, otherwise err.
func errorUnless(ok bool, err error) error {
	if ok {
		return nil
	}
	return err
}

// isAddress reports whether the text is an address and port that others can connect
// to: neither may be unspecified.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// isURL reports whether the text is an http or https URL without query, fragment and
// credentials.
func isURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	return u.Scheme == "http" || u.Scheme == "https"
}
