package planner

import (
	"fmt"
	"slices"

	trail "github.com/redwingledge/redwingledge/control/services/auditor"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
)

// maxTexts is the maximum number of stored plan texts.
const maxTexts = 1000

// planText is the text of a plan as it was shown to the operator.
type planText struct {
	// Hash is the SHA-256 of the text.
	Hash auditor.Hash `cbor:"hash"`
	// Data is the compressed text.
	Data []byte `cbor:"data"`
}

// keepText stores the text of a plan and returns its hash.
func (s *state) keepText(text string) auditor.Hash {
	hash := auditor.HashPlanText(text)
	s.Texts = append(s.Texts, planText{Hash: hash, Data: trail.Compress([]byte(text))})
	s.Texts = s.Texts[max(0, len(s.Texts)-maxTexts):]
	return hash
}

// PlanText returns the plan text with the given SHA-256, or false if it is not
// stored. It returns an error if the stored text cannot be decompressed.
func (m *Machine) PlanText(hash auditor.Hash) (string, bool, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	i := slices.IndexFunc(m.state.Texts, func(t planText) bool { return t.Hash == hash })
	if i < 0 {
		return "", false, nil
	}
	text, err := trail.Decompress(m.state.Texts[i].Data, maxAnswerBytes)
	if err != nil {
		return "", false, fmt.Errorf("read the text of a plan: %w", err)
	}
	return string(text), true, nil
}
