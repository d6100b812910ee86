package access

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"goldcreststand.example/core/ident"
)

// maxNameLength limits the length of an organisation's name in bytes. Servers receive it in a header field.
const maxNameLength = 256

// Priority is the priority of an organisation; 0 is the most urgent.
type Priority int

// Organisation is one organisation of a configuration, whose callers have its keys.
type Organisation struct {
	Name ident.TenantName
	Keys []Key
	// Priority is nil for an organisation that counts as the least urgent of the configuration.
	Priority *Priority
}

// nameProblem returns what is wrong with the name, or an empty text.
func (o *Organisation) nameProblem() string {
	n := string(o.Name)
	switch {
	case n == "":
		return "name is empty"
	case len(n) > maxNameLength:
		return "name has " + strconv.Itoa(len(n)) + " bytes, more than " + strconv.Itoa(maxNameLength)
	case !utf8.ValidString(n) || strings.ContainsFunc(n, func(r rune) bool { return !unicode.IsPrint(r) }):
		return "name has characters that cannot be printed"
	case strings.TrimSpace(n) != n:
		return "name begins or ends with a space"
	}
	return ""
}

// Finding is a reason for which a list of organisations is invalid. It never contains a key.
type Finding struct {
	// Index is the position of the organisation in the list, from 1, and Name its name, which may be invalid.
	Index int
	Name  ident.TenantName
	// Problem says what is wrong.
	Problem string
}

// String returns the finding with the name of the organisation, or with its position if the name is empty or too long.
func (f Finding) String() string {
	if f.Name == "" || len(f.Name) > maxNameLength {
		return "organisation " + strconv.Itoa(f.Index) + ": " + f.Problem
	}
	return "organisation " + strconv.Quote(string(f.Name)) + ": " + f.Problem
}
