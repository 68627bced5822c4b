// Pages of a job's results.
//
// The leader sends texts as they are recorded, which is mostly compressed, and
// the gateways restore them: there are many gateways and one leader.
#ifndef LIMPETHATCH_VERSION_JOB_PAGE_H_
#define LIMPETHATCH_VERSION_JOB_PAGE_H_

#include "fleet.pb.h"

namespace limpethatch {

// Replaces the packed texts of a page by the texts. False if one is corrupt.
bool UnpackTexts(wire::JobPage* page);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_JOB_PAGE_H_
