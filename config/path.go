package config

import (
	"strconv"
	"strings"
)

// fieldPath is the position of a field. It is formatted only when a problem is found,
// so that checking a valid configuration allocates little.
type fieldPath struct {
	section string
	// index is that of the entry in the section, none for the section itself.
	index int
	field string
	// item is the index in a list field, none for the field itself.
	item     int
	subfield string
}

// none marks an absent index.
const none = -1

// entryPath returns the path of an entry of the section with the name.
func entryPath(name string, i int) fieldPath { return fieldPath{section: name, index: i, item: none} }

// sectionPath returns the path of the section with the name.
func sectionPath(name string) fieldPath { return fieldPath{section: name, index: none, item: none} }

// at returns the path of a field of the entry, or of the list item.
func (p fieldPath) at(field string) fieldPath {
	if p.item != none {
		p.subfield = field
	} else {
		p.field = field
	}
	return p
}

// nth returns the path of an item of a list field.
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
