package cataloger

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// namePattern matches names that are safe in URLs, file names and terminals.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._@-]*[a-zA-Z0-9])?$`)

// Check returns every problem of the catalog. Their line numbers are 0.
func (c Catalog) Check() []Problem {
	k := checker{catalog: c}
	k.checkDataCentres()
	k.checkServices()
	k.checkMembers("entries", c.Entries)
	k.checkMembers("gateways", c.Gateways)
	k.checkControl()
	k.checkOperators()
	k.checkCommonNames()
	return k.problems
}

type checker struct {
	catalog  Catalog
	problems []Problem
}

func (k *checker) addf(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkNames reports duplicate and malformed names of one list.
func (k *checker) checkNames(list string, count int, name func(int) string) {
	seen := make(map[string]int)
	for i := range count {
		path := fmt.Sprintf("%s[%d].name", list, i)
		n := name(i)
		if first, ok := seen[n]; ok && n != "" {
			k.addf(path, "%q is already the name of %s[%d]", n, list, first)
			continue
		}
		seen[n] = i
		k.checkName(path, n)
	}
}

func (k *checker) checkName(path, name string) {
	if len(name) > announcer.MaxNameLength || !namePattern.MatchString(name) {
		k.addf(path, "%q must have 1 to %d letters, digits, dots, hyphens, underscores or @, and start and end with a letter or digit", name, announcer.MaxNameLength)
	}
}

func (k *checker) checkDataCentres() {
	list := k.catalog.DataCentres
	if len(list) == 0 {
		k.addf("data_centres", "must have at least one data centre")
	}
	k.checkNames("data_centres", len(list), func(i int) string { return list[i].Name })
	for i, d := range list {
		k.checkName(fmt.Sprintf("data_centres[%d].region", i), d.Region)
	}
}

func (k *checker) checkDataCentre(path, name string) {
	if _, err := k.catalog.GetDataCentre(name); err != nil {
		k.addf(path, "%q is not one of the declared data centres", name)
	}
}

func (k *checker) checkServices() {
	list := k.catalog.Services
	k.checkNames("services", len(list), func(i int) string { return list[i].Name })
	type endpoint struct {
		protocol Protocol
		address  netip.AddrPort
	}
	taken := make(map[endpoint]string)
	for i, s := range list {
		path := fmt.Sprintf("services[%d]", i)
		k.checkServiceOptions(path, s)
		// A request service needs no address: callers send requests to the address
		// of a gateway and name the service in the path.
		if len(s.Addresses) == 0 && s.Kind != KindRequest {
			k.addf(path+".addresses", "must have at least one address")
		}
		families := make(map[string]int)
		for j, a := range s.Addresses {
			addressPath := fmt.Sprintf("%s.addresses[%d]", path, j)
			k.checkAddress(addressPath, a)
			if owner, ok := taken[endpoint{s.Protocol, a}]; ok {
				k.addf(addressPath, "%s %s already belongs to service %q", s.Protocol, a, owner)
			}
			taken[endpoint{s.Protocol, a}] = s.Name
			// The service address of a packet from a backend server is derived from
			// the packet's source address, so that two addresses of one family would
			// be ambiguous.
			family := "IPv4"
			if a.Addr().Is6() {
				family = "IPv6"
			}
			if first, ok := families[family]; ok {
				k.addf(addressPath, "the service already has the %s address %s; each service has one address and port per IP family", family, s.Addresses[first])
			}
			families[family] = j
		}
		for j, d := range s.DataCentres {
			dataCentrePath := fmt.Sprintf("%s.data_centres[%d]", path, j)
			k.checkDataCentre(dataCentrePath, d)
			if slices.Index(s.DataCentres, d) != j {
				k.addf(dataCentrePath, "%q is listed twice", d)
			}
		}
	}
}

func (k *checker) checkServiceOptions(path string, s Service) {
	if s.Kind != KindFlow && s.Kind != KindRequest {
		k.addf(path+".kind", "%q is not flow or request", s.Kind)
	}
	if s.Protocol != ProtocolTCP && s.Protocol != ProtocolUDP {
		k.addf(path+".protocol", "%q is not tcp or udp", s.Protocol)
	}
	if s.Kind == KindRequest && s.Protocol == ProtocolUDP {
		k.addf(path+".protocol", "a service of kind request must use tcp")
	}
	if s.SprayScope != SprayRegion && s.SprayScope != SprayDataCentre {
		k.addf(path+".spray_scope", "%q is not region or data_centre", s.SprayScope)
	}
	k.checkHash(path+".token_sha256", s.TokenSHA256)
}

func (k *checker) checkHash(path, hash string) {
	const hashSize = 32
	if decoded, err := hex.DecodeString(hash); hash != "" && (err != nil || len(decoded) != hashSize) {
		k.addf(path, "must be a SHA-256 in 64 hexadecimal digits")
	}
}

func (k *checker) checkAddress(path string, a netip.AddrPort) {
	switch {
	case !a.IsValid() || a.Port() == 0:
		k.addf(path, "must be IP:PORT with a port above 0")
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		k.addf(path, "%s is not the address of one host", a.Addr())
	case a.Addr().Is4In6() || a.Addr().Zone() != "":
		k.addf(path, "%s must be written as plain IPv4 or IPv6", a.Addr())
	}
}

func (k *checker) checkMembers(list string, members []Member) {
	k.checkNames(list, len(members), func(i int) string { return members[i].Name })
	taken := make(map[netip.AddrPort]string)
	for i, m := range members {
		path := fmt.Sprintf("%s[%d]", list, i)
		k.checkDataCentre(path+".data_centre", m.DataCentre)
		k.checkAddress(path+".address", m.Address)
		if owner, ok := taken[m.Address]; ok {
			k.addf(path+".address", "%s already belongs to %q", m.Address, owner)
		}
		taken[m.Address] = m.Name
	}
}

func (k *checker) checkControl() {
	list := k.catalog.Control
	if !slices.Contains([]int{1, 3, 5, 7}, len(list)) {
		k.addf("control", "has %d replicas; it must have 1, 3, 5 or 7", len(list))
	}
	k.checkNames("control", len(list), func(i int) string { return list[i].Name })
	taken := make(map[netip.AddrPort]string)
	for i, r := range list {
		path := fmt.Sprintf("control[%d]", i)
		k.checkDataCentre(path+".data_centre", r.DataCentre)
		for _, a := range []struct {
			field   string
			address netip.AddrPort
		}{{"address", r.Address}, {"operator_address", r.OperatorAddress}} {
			k.checkAddress(path+"."+a.field, a.address)
			if owner, ok := taken[a.address]; ok && a.address.IsValid() {
				k.addf(path+"."+a.field, "%s is already an address of %q", a.address, owner)
			}
			taken[a.address] = r.Name
		}
	}
}

func (k *checker) checkOperators() {
	list := k.catalog.Operators
	k.checkNames("operators", len(list), func(i int) string { return list[i].Name })
	planners, confirmers, invalidRoles := 0, 0, 0
	tokens := make(map[string]string)
	for i, o := range list {
		path := fmt.Sprintf("operators[%d]", i)
		if !o.Role.IsValid() {
			k.addf(path+".role", "%q is not viewer, planner or confirmer", o.Role)
			invalidRoles++
		}
		k.checkHash(path+".token_sha256", o.TokenSHA256)
		if owner, ok := tokens[o.TokenSHA256]; ok && o.TokenSHA256 != "" {
			k.addf(path+".token_sha256", "is already the token of %q", owner)
		}
		tokens[o.TokenSHA256] = o.Name
		if o.Role.Includes(RolePlanner) {
			planners++
		}
		if o.Role.Includes(RoleConfirmer) {
			confirmers++
		}
	}
	// Without these operators nobody could confirm a later change. The counts are
	// not reliable while an operator has an invalid role.
	if invalidRoles > 0 {
		return
	}
	if confirmers == 0 {
		k.addf("operators", "must have at least one confirmer")
	} else if k.catalog.Policies.ForbidSelfConfirm && planners < 2 {
		k.addf("operators", "must have a second planner or confirmer, because forbid_self_confirm is set")
	}
}

// checkCommonNames reports operators that have the name of a process. Both are
// identified by the common name of their certificate.
func (k *checker) checkCommonNames() {
	processes := make(map[string]string)
	for _, m := range k.catalog.Entries {
		processes[m.Name] = "an entry"
	}
	for _, m := range k.catalog.Gateways {
		processes[m.Name] = "a gateway"
	}
	for _, r := range k.catalog.Control {
		processes[r.Name] = "a control replica"
	}
	for i, o := range k.catalog.Operators {
		if process, ok := processes[o.Name]; ok && o.Name != "" {
			k.addf(fmt.Sprintf("operators[%d].name", i), "%q is also the name of %s", o.Name, process)
		}
	}
}
