// Package strictjson checks JSON texts of other programs. Package encoding/json replaces bytes and
// escapes that it cannot decode, so that a text may be taken for another one.
package strictjson

import (
	"encoding/json"
	"errors"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

var (
	errNotUTF8       = errors.New("the JSON text is not UTF-8")
	errLoneSurrogate = errors.New("a JSON string has half of a surrogate pair")
)

// Check returns an error unless data is one JSON text of which every string decodes exactly.
func Check(data []byte) error {
	if !utf8.Valid(data) {
		return errNotUTF8
	}
	var text json.RawMessage
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	for i := 0; i < len(data); i++ {
		if data[i] != '"' {
			continue
		}
		end := endOfString(data, i)
		if hasLoneSurrogate(data[i:end]) {
			return errLoneSurrogate
		}
		i = end - 1
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
