package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// printer writes the output of a command, as JSON if json is set.
type printer struct {
	w    io.Writer
	json bool
}

// printf writes a line of text.
func (p printer) printf(format string, args ...any) {
	fmt.Fprintf(p.w, format+"\n", args...)
}

// object writes v as JSON.
func (p printer) object(v any) error {
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// message writes m in the JSON mapping of Protobuf, where 64-bit numbers are strings.
func (p printer) message(m proto.Message) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}
	text, err := options.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode JSON: %w", err)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil {
		return fmt.Errorf("indent JSON: %w", err)
	}
	p.printf("%s", b.String())
	return nil
}

// table writes rows in aligned columns under a header.
func (p printer) table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(p.w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// microsPerUnit is the number of micro-units in a unit of the currency.
const microsPerUnit = 1_000_000

// money formats micro-units of the currency in units.
func money(micros uint64) string {
	return fmt.Sprintf("%d.%06d", micros/microsPerUnit, micros%microsPerUnit)
}
