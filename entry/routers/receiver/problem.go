package receiver

import (
	"encoding/json"
	"net/http"
)

// reason is the machine-readable cause of a refusal.
type reason string

const (
	reasonMethod          reason = "method_not_allowed"
	reasonPath            reason = "path_not_found"
	reasonNoConfiguration reason = "no_configuration"
	reasonService         reason = "service_not_exist"
	reasonCredentials     reason = "credentials_missing"
	reasonToken           reason = "token_wrong"
	reasonMediaType       reason = "media_type_unsupported"
	reasonSize            reason = "body_too_large"
	reasonBody            reason = "body_invalid"
	reasonDataCentre      reason = "data_centre_not_allowed"
	reasonBusy            reason = "busy"
	reasonNotJoined       reason = "not_joined"
	reasonStale           reason = "stale"
	reasonAddress         reason = "address_in_use"
)

var reasons = []reason{
	reasonMethod, reasonPath, reasonNoConfiguration, reasonService, reasonCredentials, reasonToken, reasonMediaType,
	reasonSize, reasonBody, reasonDataCentre, reasonBusy, reasonNotJoined, reasonStale, reasonAddress,
}

// Names of the counters. counterRefused is a prefix that is followed by the reason.
const (
	counterAccepted = "announcements_accepted"
	counterRefused  = "announcements_refused_"
)

// problem is a problem document (RFC 9457). Its type is the default, about:blank, so the
// title is the text of the status code.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason reason `json:"reason"`
}

func (h *Handler) refuse(w http.ResponseWriter, p problem) {
	h.counters.Int(counterRefused + string(p.Reason)).Add(1)
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
