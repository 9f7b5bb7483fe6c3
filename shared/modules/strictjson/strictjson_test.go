package strictjson_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/strictjson"
)

func requireRefused(t *testing.T, texts map[string]string) {
	t.Helper()
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Error(t, strictjson.Check([]byte(text)))
		})
	}
}

// Guards against texts that decode to something that they don't say.
func TestInexactTextsAreRefused(t *testing.T) {
	t.Parallel()
	requireRefused(t, map[string]string{
		"a byte":                   "\"\xff\"",
		"a byte in a name":         "{\"\xff\":1}",
		"an overlong form":         "\"\xc0\xaf\"",
		"a surrogate in UTF-8":     "\"\xed\xa0\x80\"",
		"a cut character":          "\"\xf0\x9f\x98\"",
		"a high surrogate":         `"\ud800"`,
		"a low surrogate":          `"\uDFFF"`,
		"two high surrogates":      `"\ud800\ud800"`,
		"a pair the wrong way":     `"\ude00\ud83d"`,
		"a surrogate and a letter": `"\ud83da"`,
		"a surrogate and \\n":      `"\ud83d\n"`,
		"one after a pair":         `"\ud83d\ude00\ude00"`,
		"one after a backslash":    `"\\\ud800"`,
		"one in a name":            `[{"a":{"\udc00":1}}]`,
		"one in a later string":    `["\"","\ud800"]`,
	})
}

// Guards against objects of which only one of two members is read.
func TestRepeatedNamesAreRefused(t *testing.T) {
	t.Parallel()
	requireRefused(t, map[string]string{
		"twice":               `{"a":1,"b":2,"a":1}`,
		"with white space":    "{\"a\" :1,\"a\"\r\n:1}",
		"an escaped letter":   `{"a":1,"\u0061":2}`,
		"an escaped pair":     `{"\ud83d\ude00":1,"😀":2}`,
		"a quote":             `{"\"":1,"\u0022":2}`,
		"an empty name":       `{"":1,"":2}`,
		"in a list":           `[1,{"a":1,"a":2}]`,
		"after another level": `{"a":{"b":[{}]},"a":2}`,
	})
}

// Guards against texts that are no single JSON value.
func TestInvalidTextsAreRefused(t *testing.T) {
	t.Parallel()
	requireRefused(t, map[string]string{
		"empty": "", "a byte order mark": "\ufeff{}", "data after the value": "{} {}", "an open string": `"\`, "an open object": `{"a":`,
		"a control character": "\"\x00\"", "deep": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	})
}

// Guards against a check that refuses valid texts.
func TestExactTextsAreAccepted(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"an object":                " {\"a\":[1,null,1e999,\"b\"],\"b\":{}}\r\n",
		"a pair":                   `{"\ud83d\ude00":"\uD83D\uDE00\ud83d\ude00"}`,
		"a replacement character":  "\"\ufffd\\ufffd\"",
		"an escaped backslash":     `"\\ud800"`,
		"escaped quotes":           `["\"\\","\\\"{"]`,
		"noncharacters and a NUL":  `"\uffff\ufdd0\u0000"`,
		"the ends of the 16 bits":  `"\ud7ff\ue000"`,
		"a name and an equal text": `{"a":"a","b":{"a":["a","a"]},"c":[{"a":1},{"a":1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.NoError(t, strictjson.Check([]byte(text)))
		})
	}
}
