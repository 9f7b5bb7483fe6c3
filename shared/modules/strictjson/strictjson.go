// Package strictjson checks JSON texts of other programs. Package encoding/json replaces bytes and
// escapes that it cannot decode, and of two members with one name it takes the last one, so that a
// text may be taken for another one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

var (
	errNotUTF8       = errors.New("the JSON text is not UTF-8")
	errLoneSurrogate = errors.New("a JSON string has half of a surrogate pair")
)

// Check returns an error unless data is one JSON text of which every string decodes exactly and every
// object has each name once.
func Check(data []byte) error {
	if !utf8.Valid(data) {
		return errNotUTF8
	}
	if !json.Valid(data) {
		return json.Unmarshal(data, new(json.RawMessage))
	}
	// The names in all open objects, and how many there were before each open object or list.
	var names [][]byte
	var before []int
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			before = append(before, len(names))
		case '}', ']':
			first := before[len(before)-1]
			if err := checkUnique(names[first:]); err != nil {
				return err
			}
			names, before = names[:first], before[:len(before)-1]
		case '"':
			end := endOfString(data, i)
			if hasLoneSurrogate(data[i:end]) {
				return errLoneSurrogate
			}
			if isName(data[end:]) {
				name, err := decodeName(data[i:end])
				if err != nil {
					return err
				}
				names = append(names, name)
			}
			i = end - 1
		}
	}
	return nil
}

// isName reports whether the string before rest is a name of an object.
func isName(rest []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte(":"))
}

// decodeName returns the name in quotes.
func decodeName(quoted []byte) ([]byte, error) {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1], nil
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return []byte(name), err
}

// checkUnique sorts the names of an object. It returns an error if one is there twice.
func checkUnique(names [][]byte) error {
	slices.SortFunc(names, bytes.Compare)
	for i := 1; i < len(names); i++ {
		if bytes.Equal(names[i-1], names[i]) {
			return fmt.Errorf("a JSON object has the name %q twice", names[i])
		}
	}
	return nil
}

// endOfString returns the position after the string that starts at the given quote.
func endOfString(data []byte, start int) int {
	i := start + 1
	for data[i] != '"' {
		if data[i] == '\\' {
			i++
		}
		i++
	}
	return i + 1
}

func hasLoneSurrogate(s []byte) bool {
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			continue
		}
		unit, ok := escapedUnit(s[i:])
		if !ok {
			// The escaped character may be a backslash.
			i++
			continue
		}
		i += unitLength - 1
		if !utf16.IsSurrogate(unit) {
			continue
		}
		low, ok := escapedUnit(s[i+1:])
		if !ok || utf16.DecodeRune(unit, low) == utf8.RuneError {
			return true
		}
		i += unitLength
	}
	return false
}

// unitLength is the length of an escaped UTF-16 code unit, such as \u00e9.
const unitLength = 6

// escapedUnit returns the UTF-16 code unit whose escape s starts with, if any.
func escapedUnit(s []byte) (rune, bool) {
	if len(s) < unitLength || s[0] != '\\' || s[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(s[2:unitLength]), 16, 16)
	return rune(unit), err == nil
}
