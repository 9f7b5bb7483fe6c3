package auditor

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
)

// planHashLabel separates the intent from the hash in the text of an EventPlanShown
// line. It must not change, because ParsePlanShown looks for it in stored lines.
const planHashLabel = ", text SHA-256 "

// HashPlanText returns the SHA-256 hash of the text of a plan.
func HashPlanText(text string) Hash { return sha256.Sum256([]byte(text)) }

// FormatPlanShown returns the text of an EventPlanShown line. To keep the text
// within limit bytes it truncates the intent, but never the hash.
func FormatPlanShown(intent string, hash Hash, limit int) string {
	suffix := planHashLabel + hash.String()
	return TruncateText(intent, limit-len(suffix)) + suffix
}

// ParsePlanShown returns the hash of the plan text from an EventPlanShown line. It
// returns false for other lines.
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

// TruncateText truncates text to at most limit bytes without splitting a character. A
// split character would be invalid UTF-8, which CBOR decoders reject (RFC 8949,
// section 3.1).
func TruncateText(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:max(0, limit)], "")
}

// ErrPlanTextChanged reports that the stored text of a plan differs from the text
// that was shown to the operator.
type ErrPlanTextChanged struct {
	Plan string
	// Sequence is the number of the audit line that records Want.
	Sequence  uint64
	Want, Got Hash
}

// Error returns the message of the error.
func (e ErrPlanTextChanged) Error() string {
	return fmt.Sprintf("the stored text of plan %s was changed: its SHA-256 is %s, but line %d of the audit trail records %s", e.Plan, e.Got, e.Sequence, e.Want)
}

// IsErrPlanTextChanged reports whether err is an ErrPlanTextChanged.
func IsErrPlanTextChanged(err error) bool {
	var target ErrPlanTextChanged
	return errors.As(err, &target)
}
