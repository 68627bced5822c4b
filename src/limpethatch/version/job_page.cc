#include "limpethatch/version/job_page.h"

#include <optional>
#include <string>
#include <utility>

#include "limpethatch/process/compression.h"

namespace limpethatch {

bool UnpackTexts(wire::JobPage* page) {
  for (wire::JobResult& result : *page->mutable_results()) {
    if (result.packed_text().empty()) {
      continue;
    }
    std::optional<std::string> text = DecompressCommand(result.packed_text());
    if (!text) {
      return false;
    }
    result.set_text(*std::move(text));
    result.clear_packed_text();
  }
  return true;
}

}  // namespace limpethatch
