package config

import (
	"strconv"
	"strings"
)

// fieldPath is the position of a field. It is put into words only when a problem is
// found, so that checking a good configuration allocates little.
type fieldPath struct {
	section string
	// index of the entry in the section, none if the section itself is meant.
	index int
	field string
	// item is the index in the field, none if the field itself is meant.
	item     int
	subfield string
}

// none marks an absent index.
const none = -1

// entry returns the path of an entry of a section.
func entry(section string, i int) fieldPath { return fieldPath{section: section, index: i, item: none} }

// whole returns the path of a section.
func whole(section string) fieldPath { return fieldPath{section: section, index: none, item: none} }

// at returns the path of a field of the entry.
func (p fieldPath) at(field string) fieldPath {
	if p.item != none {
		p.subfield = field
	} else {
		p.field = field
	}
	return p
}

// nth returns the path of an item of the field.
func (p fieldPath) nth(i int) fieldPath {
	p.item = i
	return p
}

// String returns the path in the form "register.engines[3].versions[0]".
func (p fieldPath) String() string {
	var b strings.Builder
	b.WriteString(p.section)
	writeIndex(&b, p.index)
	if p.field != "" {
		b.WriteString("." + p.field)
	}
	writeIndex(&b, p.item)
	if p.subfield != "" {
		b.WriteString("." + p.subfield)
	}
	return b.String()
}

func writeIndex(b *strings.Builder, i int) {
	if i != none {
		b.WriteString("[" + strconv.Itoa(i) + "]")
	}
}
