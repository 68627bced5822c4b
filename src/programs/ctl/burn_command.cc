#include <fmt/format.h>

#include <fstream>

#include "programs/ctl/burn_report.h"
#include "programs/ctl/commands.h"

namespace limpethatch {

int Burn(const CommandOptions& options) {
  const OperatorResponse response =
      CallOperator(options.access, "GET", "/v1/burn");
  if (!response.reached || response.status != 200 ||
      !response.body.is_object()) {
    return ReportFailedCall(response);
  }
  const BurnReport report = ReadBurnReport(response.body.as_object());
  if (!options.html.empty()) {
    std::ofstream file(options.html, std::ios::binary);
    file << BurnReportHtml(report);
    file.close();
    if (!file) {
      fmt::print(stderr, "{}: cannot write the file\n", options.html);
      return kExitFault;
    }
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", response.text);
  } else {
    fmt::print("{}", BurnReportText(report));
  }
  return kExitSuccess;
}

}  // namespace limpethatch
