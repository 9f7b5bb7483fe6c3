package auditor

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
)

// planHashLabel stands between the intent and the hash in the text of a line of
// EventPlanShown. Stored lines depend on it.
const planHashLabel = ", text SHA-256 "

// HashPlanText returns the SHA-256 of the text of a plan.
func HashPlanText(text string) Hash { return sha256.Sum256([]byte(text)) }

// FormatPlanShown returns the text of a line of EventPlanShown with at most limit
// bytes. An overlong intent is cut, and the hash never is.
func FormatPlanShown(intent string, hash Hash, limit int) string {
	suffix := planHashLabel + hash.String()
	return CutText(intent, limit-len(suffix)) + suffix
}

// ParsePlanShown returns the hash of the plan text that a line of EventPlanShown
// names. It returns false for other lines.
func ParsePlanShown(line Line) (Hash, bool) {
	i := strings.LastIndex(line.Text, planHashLabel)
	if line.Event != EventPlanShown || i < 0 {
		return Hash{}, false
	}
	var hash Hash
	if err := hash.UnmarshalText([]byte(line.Text[i+len(planHashLabel):])); err != nil {
		return Hash{}, false
	}
	return hash, true
}

// CutText returns the longest prefix of text with at most limit bytes that ends
// with a whole character. A part of a character would be invalid UTF-8, which
// CBOR decoders refuse (RFC 8949, section 3.1).
func CutText(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:max(0, limit)], "")
}

// ErrPlanTextChanged reports that the kept text of a plan is not the one that was
// shown.
type ErrPlanTextChanged struct {
	Plan string
	// Sequence is the line of the audit trail that names Want.
	Sequence  uint64
	Want, Got Hash
}

// Error returns the message of the error.
func (e ErrPlanTextChanged) Error() string {
	return fmt.Sprintf("the kept text of plan %s was changed: it has the SHA-256 %s, and line %d of the audit trail names %s", e.Plan, e.Got, e.Sequence, e.Want)
}

// IsErrPlanTextChanged reports whether err is an ErrPlanTextChanged.
func IsErrPlanTextChanged(err error) bool {
	var target ErrPlanTextChanged
	return errors.As(err, &target)
}
