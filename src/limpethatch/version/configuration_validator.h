// Whether a configuration can be put in force.
#ifndef LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_
#define LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_

#include <string>
#include <vector>

#include "fleet.pb.h"

namespace limpethatch {

// What is wrong with it, one sentence each; empty if it is valid. Invalid is
// a route to an unknown service, two routes of one host and prefix, a route
// without weight, and a time-out of 0.
std::vector<std::string> ValidateConfiguration(
    const wire::FleetConfiguration& configuration);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_CONFIGURATION_VALIDATOR_H_
