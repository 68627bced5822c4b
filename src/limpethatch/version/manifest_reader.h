// Parsing and validation of a manifest.
#ifndef LIMPETHATCH_VERSION_MANIFEST_READER_H_
#define LIMPETHATCH_VERSION_MANIFEST_READER_H_

#include <string_view>

#include "limpethatch/process/json_document.h"
#include "limpethatch/version/manifest.h"

namespace limpethatch {

// Parses a JSON text with comments. Adds every fault found to `faults`; the
// result may be used only if there are none.
Manifest ReadManifest(std::string_view text, JsonFaults& faults);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_READER_H_
