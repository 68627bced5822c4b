// Validation of a fleet configuration before it is put in force.
#ifndef LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_
#define LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_

#include <string>
#include <vector>

#include "fleet.pb.h"

namespace limpethatch {

// Returns one error message per fault; empty if the configuration is valid.
// Faults are: a route to an unknown service, a negative weight, a route whose
// weights add up to 0, two routes with the same host and path prefix, a
// time-out of 0, two organisations with the same name or key, and the name of
// an organisation that cannot be the value of a header. No message contains a
// key.
std::vector<std::string> ValidateConfiguration(
    const wire::FleetConfiguration& configuration);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_
