// Looks up the declared route of a request.
#ifndef LIMPETHATCH_REQUEST_ROUTE_TABLE_H_
#define LIMPETHATCH_REQUEST_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/request/organisations/organisation_table.h"

namespace limpethatch {

// An immutable index of one configuration.
//
// The organisations are only kept in their own table: as messages, 10,000 of
// them with 3 keys each would take about 5 MB more.
class RouteTable {
 public:
  explicit RouteTable(wire::FleetConfiguration configuration);

  uint64_t version() const { return configuration_.version(); }
  // Without the organisations.
  const wire::FleetConfiguration& configuration() const {
    return configuration_;
  }
  const OrganisationTable& organisations() const { return organisations_; }
  // Returns the route of that host with the longest matching path prefix; null
  // if there is none. Host comparison ignores case and port.
  const wire::Route* Match(std::string_view host, std::string_view path) const;
  // Chooses one of the route's services in proportion to their weights, for a
  // uniformly distributed `random`.
  static const std::string& ServiceFor(const wire::Route& route,
                                       uint64_t random);
  // Returns null if the service is not declared.
  const wire::ServiceDeclaration* Service(std::string_view name) const;

 private:
  wire::FleetConfiguration configuration_;
  OrganisationTable organisations_;
  // By host; longest prefix first.
  std::map<std::string, std::vector<const wire::Route*>, std::less<>> by_host_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_ROUTE_TABLE_H_
